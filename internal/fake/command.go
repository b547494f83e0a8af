package fake

import "gingerfork/internal/statemachine"

const logWarning = 2 // statemachine.LogWarning

// logUnknownCommand logs a scenario's command that a fake does not know.
func logUnknownCommand(out *statemachine.Effects, text string) {
	out.Log(logWarning, "unknown command", "command", text)
}
