package parser

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// ParseJobs parses a list of jobs. Unknown fields, duplicate member names and duplicate job ids are errors.
func ParseJobs(data []byte) ([]model.JobSpec, error) {
	v, err := parseJSON(data)
	if err != nil {
		return nil, err
	}
	list, ok := v.Value.(*hujson.Array)
	if !ok || len(list.Elements) == 0 {
		return nil, newSyntaxError(data, v.StartOffset, "a list of jobs is expected, like [{\"class\": ...}]")
	}
	if err := checkDuplicateNames(data, v, exactName); err != nil {
		return nil, err
	}
	v.Standardize() // replaces comments and trailing commas with blanks, so offsets in error messages stay correct
	var specs []model.JobSpec
	d := json.NewDecoder(bytes.NewReader(v.Pack()))
	d.DisallowUnknownFields()
	if err := d.Decode(&specs); err != nil {
		return nil, decodeErrorAt(data, errorOffset(&v, reflect.TypeOf(specs), d), err)
	}
	seen := make(map[model.JobID]bool, len(specs))
	for i, s := range specs {
		if s.ID != "" && seen[s.ID] {
			return nil, newSyntaxError(data, list.Elements[i].StartOffset, fmt.Sprintf("the job id %q is given twice", s.ID))
		}
		seen[s.ID] = true
	}
	return specs, nil
}
