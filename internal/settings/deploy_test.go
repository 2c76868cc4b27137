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

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// files returns the files of all deployments with the name.
func files(t *testing.T, name string) []string {
	t.Helper()
	found, err := filepath.Glob(filepath.Join("..", "..", "deploy", "*", name))
	if err != nil || len(found) == 0 {
		t.Fatalf("no %s in deploy: %v", name, err)
	}
	return found
}

// Guards against example settings that the program refuses, or that the demo's operator cannot use.
func TestDeployedSettings(t *testing.T) {
	for _, path := range files(t, "entry.hujson") {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			s, err := settings.Load(path)
			is.NoErr(err)
			is.Equal(s.OperatorTokenSHA256, digest("demo-operator-1"))
		})
	}
}

// Guards against example configurations with faults, without the demo's tokens, or unlike the fakes' fleet.
func TestDeployedConfigurations(t *testing.T) {
	for _, path := range files(t, "config.hujson") {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile(path)
			is.NoErr(err)
			set, err := parser.ParseConfig(data)
			is.NoErr(err)
			is.Equal(len(validator.Validate(set)), 0)
			for id, c := range set.Callers {
				is.Equal(c.TokenSHA256, digest("demo-"+string(id)))
			}
			for id, o := range set.Operators {
				is.Equal(o.TokenSHA256, digest("demo-"+string(id)))
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

// Guards against a file below deploy that no test reads.
func TestDeployedFilesAreKnown(t *testing.T) {
	known := map[string]bool{"entry.hujson": true, "config.hujson": true, "fakes.hujson": true}
	for _, path := range files(t, "*") {
		is := is.New(t)
		// Days are read by the users' bench.
		is.True(known[filepath.Base(path)] || filepath.Base(filepath.Dir(path)) == "days" && filepath.Ext(path) == ".toml")
	}
}
