package scenario

import (
	"embed"
	"path"
	"strings"
)

// Folders and file name extension of the embedded scripts.
const (
	builtinFolder  = "days"
	incidentFolder = "incidents"
	fileExtension  = ".day"
)

//go:embed days incidents
var embedded embed.FS

// Builtin returns the names of the small scenarios that are embedded in the program.
func Builtin() []string { return scenariosIn(builtinFolder) }

// Incidents returns the names of the incidents that are embedded in the program: larger scenarios with several faults at once.
func Incidents() []string { return scenariosIn(incidentFolder) }

func scenariosIn(folder string) []string {
	entries, err := embedded.ReadDir(folder)
	if err != nil {
		panic(err) // both folders are embedded by the directive above
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if name, ok := strings.CutSuffix(entry.Name(), fileExtension); ok {
			names = append(names, name)
		}
	}
	return names
}

// File returns the content of an embedded file, a script or a settings file. If there is no file of that name, the error is an
// *fs.PathError.
func File(name string) ([]byte, error) {
	data, err := embedded.ReadFile(path.Join(builtinFolder, name))
	if err != nil {
		data, err = embedded.ReadFile(path.Join(incidentFolder, name))
	}
	return data, err
}
