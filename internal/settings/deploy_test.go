package settings_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"chestnutmux.example/chestnutmux/internal/fake/platform"
	"chestnutmux.example/chestnutmux/internal/settings"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/pkg/validator"
)

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// deployFiles returns the paths of the files whose name matches a pattern, in all folders of deploy.
func deployFiles(t *testing.T, name string) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join("..", "..", "deploy", "*", name))
	if err != nil || len(found) == 0 {
		t.Fatalf("no %s in deploy: %v", name, err)
	}
	return found
}

// Guards against example settings that are invalid or do not contain the digest of the demo operator's token.
func TestDeployedSettings(t *testing.T) {
	for _, path := range deployFiles(t, "entry.hujson") {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Load(path)
			is.NoErr(err)
			is.Equal(s.OperatorTokenSHA256, sha256Hex("demo-operator-1"))
		})
	}
}

// Guards against example configurations that have faults, contain other tokens than the demo uses, or declare failure domains
// and racks that differ from those of the fakes.
func TestDeployedConfigurations(t *testing.T) {
	for _, path := range deployFiles(t, "config.hujson") {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			set, err := parser.ParseConfig(data)
			is.NoErr(err)
			is.Equal(len(validator.Validate(set)), 0)
			for id, c := range set.Callers {
				is.Equal(c.TokenSHA256, sha256Hex("demo-"+string(id)))
			}
			for id, o := range set.Operators {
				is.Equal(o.TokenSHA256, sha256Hex("demo-"+string(id)))
			}
			fakes, err := platform.Load(filepath.Join(filepath.Dir(path), "fakes.hujson"))
			is.NoErr(err)
			is.Equal(len(fakes.Domains), len(set.FailureDomains))
			for _, d := range fakes.Domains {
				declared := set.FailureDomains[d.ID]
				is.Equal(d.Region, declared.Region)
				racks := map[model.RackID]model.Rack{}
				for _, r := range d.Racks {
					racks[r.ID] = r.Rack
				}
				is.Equal(racks, declared.Racks)
			}
		})
	}
}

// Guards against files in the folder deploy that no test checks.
func TestDeployedFilesAreKnown(t *testing.T) {
	known := map[string]bool{"entry.hujson": true, "config.hujson": true, "fakes.hujson": true}
	for _, path := range deployFiles(t, "*") {
		is := is.New(t)
		// The files in deploy/days are read by the users' benchmark.
		is.True(known[filepath.Base(path)] || filepath.Base(filepath.Dir(path)) == "days" && filepath.Ext(path) == ".toml")
	}
}
