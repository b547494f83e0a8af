package fake

import "gingerfork/internal/statemachine"

// logWarning has the value of statemachine.LogWarning.
const logWarning = 2

// logUnknownCommand logs a command of a scenario that a fake does not know.
func logUnknownCommand(out *statemachine.Effects, text string) {
	out.Log(logWarning, "unknown command", "command", text)
}
