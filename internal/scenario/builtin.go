package scenario

import (
	"embed"
	"path"
	"strings"
)

// Folders and extension of the embedded scenario files.
const (
	builtinFolder  = "days"
	incidentFolder = "incidents"
	fileExtension  = ".day"
)

//go:embed days incidents
var embedded embed.FS

// Builtin returns the names of the small scenarios that come with the program.
func Builtin() []string { return scenariosIn(builtinFolder) }

// Incidents returns the names of the incidents that come with the program: larger scenarios with several faults at once.
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

// File returns the text of an embedded file, be it a scenario or the settings that one names. It fails with an
// *fs.PathError where there is none.
func File(name string) ([]byte, error) {
	data, err := embedded.ReadFile(path.Join(builtinFolder, name))
	if err != nil {
		data, err = embedded.ReadFile(path.Join(incidentFolder, name))
	}
	return data, err
}
