package cli

import (
	"github.com/cockroachdb/errors"

	"chestnutmux.example/chestnutmux/internal/checker"
	"chestnutmux.example/chestnutmux/pkg/differ"
	"chestnutmux.example/chestnutmux/pkg/model"
	"chestnutmux.example/chestnutmux/pkg/parser"
	"chestnutmux.example/chestnutmux/platform"
)

// configFormat is the format of a configuration file.
type configFormat string

// The formats.
const (
	formatAuto     configFormat = "auto"     // detected from the members of the file
	formatOwn      configFormat = "own"      // named objects, JSON with comments
	formatPlatform configFormat = "platform" // the format of the users' platform, JSON
)

// configFile is a parsed configuration file, or the configuration in force.
type configFile struct {
	format    configFormat
	set       model.ConfigSet // only in our own format
	routing   checker.Routing // only in the platform's format
	data      []byte          // only in the platform's format
	version   int64           // 0 for a file in our own format, which has none
	isInForce bool
}

// readConfigFile reads and parses a configuration file. It does not judge its content.
func readConfigFile(e *env, path string, format configFormat) (*configFile, error) {
	data, err := e.readFile(path)
	if err != nil {
		return nil, err
	}
	f, err := parseConfigFile(data, format)
	if err != nil {
		return nil, usageError{errors.Wrap(err, path)}
	}
	return f, nil
}

// parseConfigFile parses a configuration of either format.
func parseConfigFile(data []byte, format configFormat) (f *configFile, err error) {
	if format == formatAuto {
		if format, err = detectFormat(data); err != nil {
			return nil, err
		}
	}
	f = &configFile{format: format}
	if format == formatOwn {
		f.set, err = parser.ParseConfig(data)
		return f, err
	}
	f.data = data
	f.routing, err = platform.ParseRouting(data)
	f.version = f.routing.Version
	return f, err
}

// detectFormat returns the format of a configuration by the names of its members. A file without a known name counts as one of our own format,
// whose parser tells the place of unknown names.
func detectFormat(data []byte) (configFormat, error) {
	members, err := parser.ParseMembers(data)
	if err != nil {
		return "", err
	}
	isOwn, isPlatform := checker.HasSetMembers(members), platform.HasConfigMembers(members)
	switch {
	case isOwn && isPlatform:
		return "", errors.New("the file has members of both formats; give --format own or --format platform")
	case isPlatform:
		return formatPlatform, nil
	}
	return formatOwn, nil
}

// findingOf returns the finding for a file that can't be parsed; ok is false if the error has no place in the file.
func findingOf(err error) (f checker.Finding, ok bool) {
	var syntaxErr *parser.SyntaxError
	if !errors.As(err, &syntaxErr) {
		return f, false
	}
	return checker.FindingOf(err), true
}

// check returns the findings.
func (f *configFile) check(o checker.Options) []checker.Finding {
	if f.format == formatOwn {
		return checker.CheckSet(f.set, o)
	}
	var findings []checker.Finding
	for _, err := range []error{parser.CheckUTF8(f.data), parser.CheckDuplicates(f.data, platform.KnownNames)} {
		if err != nil {
			findings = append(findings, checker.FindingOf(err))
		}
	}
	return append(findings, checker.CheckRouting(f.routing, o)...)
}

// diffFrom returns the differences from another configuration of the same format.
func (f *configFile) diffFrom(other *configFile) ([]differ.FieldChange, error) {
	set := f.set
	if set.Evacuations == nil {
		set.Evacuations = other.set.Evacuations // a publish of such a file leaves them as they are
	}
	wanted, err := f.encode(set)
	if err != nil {
		return nil, err
	}
	old, err := other.encode(other.set)
	if err != nil {
		return nil, err
	}
	return differ.DiffFields(old, wanted), nil
}

// encode returns the objects of the file without secrets; set is its content in our own format.
func (f *configFile) encode(set model.ConfigSet) (differ.Objects, error) {
	if f.format == formatOwn {
		return differ.Encode(checker.WithoutSecrets(set))
	}
	return platform.EncodeConfig(f.data)
}
