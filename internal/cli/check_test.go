package cli

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/checker"
	"chestnutmux.example/chestnutmux/pkg/model"
)

// platformFiles is the directory of configurations in the platform's format, whose names appear there only. base.json has one warning.
const platformFiles = "../../platform/testdata/check"

// writeFiles writes files to a new directory and returns it.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Guards against wrong exit codes, formats taken for the other, and findings that are not printed.
func TestCheck(t *testing.T) {
	dir := writeFiles(t, map[string]string{
		"own":       `{"workspaces":{"w":{"quota":8}}}`,
		"own-fault": `{"workspaces":{"w":{"quota":-1}}}`,
		"deep":      strings.Repeat("[", 1<<20),
		"empty":     "",
		"null":      "null",
	})
	is.New(t).NoErr(os.CopyFS(dir, os.DirFS(platformFiles)))
	t.Chdir(dir)
	for _, c := range []struct {
		args           string
		exitCode       int
		stdout, stderr string // contained in the output
	}{
		{"base.json", ExitOK, "base.json: warning: service unused: no route names the service; remove it, or name it in a route\nbase.json: no errors, 1 warning\n", ""},
		{"base.json --strict", ExitFailure, "base.json: error: service unused: ", "base.json: 1 error, 0 warnings"},
		{"base.json --memory-mb 5", ExitFailure, "error: limits: ", ""},
		{"base.json --memory-mb 40", ExitOK, "warning: limits: ", ""},
		{"base.json --json --strict", ExitFailure, `{"faults":[{"kind":"service","name":"unused","field":"","message":"no route`, "1 error"},
		{"next.json --against base.json", ExitOK, `: "1 key `, ""},
		{"next.json --against base.json --json", ExitOK, `"against":"base.json","differences":[{"change":"changed","kind":"file","name":"version","old":7,"new":8}`, ""},
		{"base.json --against next.json", ExitFailure, "error: file: version: version 7 is not above version 8", ""},
		{"base.json --against own", ExitUsage, "no route names the service", "compare files of one format"},
		{"base.json --against missing", ExitUsage, "no route names the service", "missing"},
		{"base.json --against syntax.json", ExitUsage, "no route names the service", "syntax.json: line 2"},
		{"base.json --against in-force", ExitUsage, "no route names the service", "give a file"},
		{"twice.json", ExitFailure, `error: file line 1 column 14: "version" is given twice`, "1 error"},
		{"twice-in-upper-case.json", ExitFailure, `error: file line 1 column 22: "Version" is given twice`, "1 error"},
		{"twice-unknown.json", ExitFailure, `error: file line 1 column 30: a member is given twice`, "1 error"},
		{"type.json", ExitUsage, "", "type.json: line 2 column 11: "},
		{"type.json --json", ExitUsage, `{"faults":[{"kind":"file","name":"","field":"line 2 column 11"`, "line 2"},
		{"syntax.json", ExitUsage, "", "syntax.json: line 2 column 25: the file is no JSON with comments: invalid literal;"},
		{"comment.json", ExitUsage, "", "comment.json: line 1 column 15"},
		{"both.json", ExitUsage, "", "give --format"},
		{"both.json --format platform", ExitOK, "no faults", ""},
		{"base.json --format own", ExitUsage, "", "unknown field"},
		{"own --format own", ExitOK, "warning: workspace w: it has no callers", ""},
		{"own-fault", ExitFailure, "error: workspace w: quota: -1 is out of bounds", "2 errors, 1 warning"},
		{"own --settings --against own", ExitUsage, "", "leave them out"},
		{"own --settings --memory-mb 5", ExitUsage, "", "leave them out"},
		{"- --against -", ExitUsage, "", "can't be compared with itself"},
		{"null", ExitUsage, "", "null: line 1 column 1: the file holds no object"},
		{"latin-1.json", ExitFailure, "latin-1.json: error: file line 1 column 45: the file is not in UTF-8", "1 error"},
		{"own --memory-mb=-1", ExitUsage, "", "out of bounds"},
		{"own --accelerators=-1", ExitUsage, "", "out of bounds"},
		{"deep", ExitUsage, "", "deep: line 1 column 10001: values are nested deeper"},
		{"empty", ExitUsage, "", "empty: line 1 column 1"},
		{"missing", ExitUsage, "", "missing"},
	} {
		t.Run(c.args, func(t *testing.T) {
			is := is.New(t)
			r := runCommand(t, append([]string{"check"}, strings.Fields(c.args)...)...)
			t.Logf("%+v", r)
			is.Equal(r.exitCode, c.exitCode)
			is.True(strings.Contains(r.stdout, c.stdout))
			is.True(strings.Contains(r.stderr, c.stderr))
			is.True(!strings.Contains(r.stdout+r.stderr, "secret")) // no key
			is.True(!strings.Contains(c.args, "--json") || json.Valid([]byte(r.stdout)))
		})
	}
}

// Guards against false alarms: the example files are sound.
func TestCheckOfExampleFiles(t *testing.T) {
	files, err := filepath.Glob("../../deploy/*/config.hujson")
	is.New(t).NoErr(err)
	is.New(t).True(len(files) >= 2)
	for _, file := range files {
		r := runCommand(t, "check", file, "--strict", "--memory-mb", "184", "--against", file)
		is.New(t).Equal(r, commandResult{ExitOK, "against " + file + ": 0 differences\n" + file + ": no faults\n", ""})
	}
}

// Guards against a comparison with the set in force that misses changes, shows digests, or hides the findings when the host does not respond.
func TestCheckAgainstInForce(t *testing.T) {
	is := is.New(t)
	set, err := readConfig(&env{}, configPath)
	is.NoErr(err)
	set.Workspaces["bridal"] = model.Workspace{Weight: 2, Quota: 96}
	set.Evacuations = map[model.DomainID]model.Evacuation{"kartli-a": {}} // the file leaves evacuations as they are
	digest := set.Callers["atelier"].TokenSHA256
	delete(set.Callers, "atelier")
	b := &fakeBackend{config: model.ConfigResponse{Version: 7, Config: set}}
	r := runWithBackend(t, b, "operator", "check", "--against", inForce, configPath)
	is.Equal(r.exitCode, ExitOK)
	is.True(strings.HasPrefix(r.stdout, "against version 7: 2 differences\nadded caller atelier: "))
	is.True(strings.Contains(r.stdout, "changed workspace bridal: quota: 96 -> 128\n"))
	is.True(!strings.Contains(r.stdout, digest))
	b.err = &model.Error{Kind: model.ErrorKindOverloaded, Outcome: model.OutcomeNotRun, Message: "too much"}
	dir := writeFiles(t, map[string]string{"own": `{"workspaces":{"w":{"quota":-1}}}`})
	r = runWithBackend(t, b, "operator", "check", "--against", inForce, filepath.Join(dir, "own"))
	is.Equal(r.exitCode, ExitNotRun)
	is.True(strings.Contains(r.stdout, "quota: -1 is out of bounds"))
	is.Equal(runWithBackend(t, b, "", "check", "--against", inForce, configPath).exitCode, ExitUsage) // no token
}

// Guards against a panic, and output that is no JSON, on arbitrary files.
func FuzzCheck(f *testing.F) {
	read := func(name string) []byte {
		data, err := os.ReadFile(filepath.Join(platformFiles, name))
		if err != nil {
			f.Fatal(err)
		}
		return data
	}
	f.Add([]byte(`{"callers":{"c":{"workspace":"w","token-sha256":"x"}}}`), []byte(`{"guarantees":{"g":{"cell":9223372036854775807,"count":2}}}`))
	f.Add(read("base.json"), read("odd.json"))
	f.Fuzz(func(t *testing.T, data, otherData []byte) {
		for _, format := range []configFormat{formatAuto, formatOwn, formatPlatform} {
			file, err := parseConfigFile(data, format)
			if err != nil {
				continue
			}
			result := checkResult{Findings: file.check(checker.Options{Accelerators: 1, LargestBody: 1, LargestSureBody: 1})}
			if other, err := parseConfigFile(otherData, file.format); err == nil {
				if result.Differences, err = file.diffFrom(other); err != nil {
					t.Errorf("%q against %q: %v", data, otherData, err)
				}
			}
			e := &env{stdout: io.Discard, stderr: io.Discard}
			(&checkCommand{}).printText(e, result, 1, 1)
			if err := e.printJSON(result); err != nil {
				t.Errorf("%q against %q: %v", data, otherData, err)
			}
		}
	})
}
