package main

import (
	"os"
	"strings"
	"testing"
)

// TestMain runs the test binary as the program if the environment variable runAsProgramEnv is 1, for tests that need the program as a child process.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) == "1" {
		os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
	}
	coordinatorEnv = []string{runAsProgramEnv + "=1"}
	os.Exit(m.Run())
}

// Each command line gives the expected exit code, and a text in its output or error output.
func TestExitCodesAndMessages(t *testing.T) {
	fine := tempFile(t, "fine.conf", perthSettings(t))
	bad := tempFile(t, "bad.conf", strings.NewReplacer("15s", "15", "pair", "piar").Replace(perthSettings(t)))
	for _, testCase := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"version"}, exitOK, "protocol 1"},
		{[]string{"check", fine}, exitOK, "fine.conf: valid"},
		{[]string{"check", fine, bad}, exitFailure, "bad.conf:11: warm-after"},
		{[]string{"check", bad}, exitFailure, "did you mean pair?"},
		{[]string{"check", "none.conf"}, exitFailure, "can't be read"},
		{[]string{"check"}, exitUsage, "expected"},
		{[]string{"sreve"}, exitUsage, "sreve"},
		{[]string{"serve", bad}, exitFailure, "warm-after"},
		{[]string{"scenario", "no-such-day"}, exitFailure, "evening"},
		{[]string{"scenario", "--virtual", "--search", "20", "--seed", "5"}, exitOK, "20 scenarios played, 0 violated"},
		{[]string{"settings"}, exitOK, "| `drain-grace` |"},
		{[]string{"--help"}, exitOK, "Exit codes"},
	} {
		code, out, errs := runCommand(testCase.args...)
		if code != testCase.code || !strings.Contains(out+errs, testCase.want) {
			t.Errorf("%v: exit code %d, want %d and the text %q in:\n%s%s", testCase.args, code, testCase.code, testCase.want, out, errs)
		}
	}
}
