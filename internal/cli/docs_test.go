package cli

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/matryer/is"
)

func newTestParser(t *testing.T) *kong.Kong {
	t.Helper()
	p, err := newParser(&env{stdout: io.Discard, stderr: io.Discard}, func(int) {})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against commands and flags that are missing from the man page, have no help or, for commands, no example.
func TestManPage(t *testing.T) {
	data, err := os.ReadFile("../../man/chestnutmux.1")
	if err != nil {
		t.Fatal(err)
	}
	man := strings.ReplaceAll(string(data), `\-`, "-")
	sharedPart, commandsPart, _ := strings.Cut(man, ".SH COMMANDS")
	sections := strings.Split(commandsPart, ".SS ")
	for _, cmd := range newTestParser(t).Model.Children {
		is := is.New(t)
		is.True(strings.Contains(cmd.Detail, "chestnutmux "+cmd.Name)) // the help has an example
		section := ""
		for _, s := range sections {
			if name, _, _ := strings.Cut(s, "\n"); strings.Fields(name + " x")[0] == cmd.Name {
				section = s
			}
		}
		if section == "" {
			t.Errorf("the man page has no section %s", cmd.Name)
		}
		for _, f := range cmd.Flags {
			isMentionedIn := regexp.MustCompile(`--` + f.Name + `\b`).MatchString
			isShared := f.Name == "server" || f.Name == "token" || f.Name == "json" || f.Name == "help"
			if !isMentionedIn(section) && (!isShared || !isMentionedIn(sharedPart)) {
				t.Errorf("the man page lacks --%s of %s", f.Name, cmd.Name)
			}
			is.True(f.Help != "")
		}
	}
}

// argumentPattern matches one shell argument, which may be quoted.
var argumentPattern = regexp.MustCompile(`'[^']*'|"[^"]*"|\S+`)

// exampleLines returns the lines of a Markdown file that are in code blocks, either indented or fenced as sh.
func exampleLines(t *testing.T, path string) []string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.Join(fencedBlocks(t, path, "sh"), ""), "\n")
	for line := range strings.Lines(string(data)) {
		if strings.HasPrefix(line, "    ") {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against commands in the documentation, the man page or the help that the parser refuses.
func TestDocumentedCommands(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("../../docs/*.md")
	is.NoErr(err)
	var lines []string
	for _, page := range append(pages, "../../README.md") {
		lines = append(lines, exampleLines(t, page)...)
	}
	man, err := os.ReadFile("../../man/chestnutmux.1")
	is.NoErr(err)
	_, manExamples, _ := strings.Cut(string(man), ".nf\n")
	lines = append(lines, strings.Split(manExamples, "\n")...)
	for _, cmd := range newTestParser(t).Model.Children {
		lines = append(lines, strings.Split(cmd.Detail, "\n")...)
	}
	t.Setenv("CHESTNUTMUX_TOKEN", "t")
	parsedCommands := 0
	for _, line := range lines {
		args, ok := strings.CutPrefix(strings.TrimSpace(line), "chestnutmux ")
		if !ok {
			continue
		}
		var words []string
		for _, w := range argumentPattern.FindAllString(args, -1) {
			words = append(words, strings.Trim(w, `'"`))
		}
		parsedCommands++
		if _, err := newTestParser(t).Parse(words); err != nil {
			t.Errorf("%s: %v", strings.TrimSpace(line), err)
		}
	}
	is.True(parsedCommands > 40)
}

// Guards against metrics, invariants and settings that are missing from docs/OPERATIONS.md. The test finds their names in the
// source with patterns; minMatches guards against a pattern that no longer matches the source.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	for _, source := range []struct {
		path, pattern string
		minMatches    int
	}{
		{"../recorder/recorder.go", `"([a-z]+(?:-[a-z]+)*)": &r\.`, 7},
		{"../daemon/status.go", `Gauge\("([a-z-]+)"`, 3},
		{"../dispatcher/metrics.go", `"([a-z-]+)": m\.`, 6},
		{"../acceptor/acceptor.go", `"([a-z-]+)": m\.`, 4},
		{"../spooler/metrics.go", `"([a-z-]+)": m\.`, 3},
		{"../asserter/asserter.go", `Invariant += "([a-z-]+)"`, 7},
		{"../settings/settings.go", "`json:\"([a-z0-9-]+)\"`", 14},
	} {
		data, err := os.ReadFile(source.path)
		is.NoErr(err)
		matches := regexp.MustCompile(source.pattern).FindAllSubmatch(data, -1)
		is.True(len(matches) >= source.minMatches)
		for _, m := range matches {
			if !bytes.Contains(page, []byte("`"+string(m[1])+"`")) {
				t.Errorf("docs/OPERATIONS.md does not explain %s", m[1])
			}
		}
	}
}
