package sizer

import (
	"unsafe"

	"chestnutmux.example/chestnutmux/pkg/model"
)

// Memory of the parts of a job without their text, in bytes.
const (
	// jobBytes is the memory of a job and its record in a replica, in the copy of the log for neighbours and in the state of a leader.
	jobBytes model.Bytes = 1 << 10
	// stepBytes and taskBytes are the memory of a step of an occurrence and of a task in the state of a leader, with the maps that fill while
	// the task runs.
	stepBytes, taskBytes model.Bytes = 600, 500
	// submittedStepBytes is the memory of a step in the submission.
	submittedStepBytes = model.Bytes(unsafe.Sizeof(model.Step{}))
	dependencyBytes    = model.Bytes(unsafe.Sizeof(int(0)))
	// idCopies is the number of copies of the ID of a job.
	idCopies = 4
)

// Held returns the memory that a job takes until it ends, on a host that leads. The argument is the size of its record in the log, of which
// each host keeps a copy for its neighbours.
func Held(s *model.Submission, recordBytes int) model.Bytes {
	tasks := 0
	for i := range s.Steps {
		tasks += s.Steps[i].Count
	}
	occurrences := model.Bytes(s.Occurrences())
	return HeldAfterEnd(s, recordBytes) + occurrences*(model.Bytes(len(s.Steps))*stepBytes+model.Bytes(tasks)*taskBytes)
}

// HeldAfterEnd returns the memory that a job takes after it has ended, with what is left of its submission.
func HeldAfterEnd(s *model.Submission, recordBytes int) model.Bytes {
	return jobBytes + model.Bytes(len(s.ID)*idCopies+len(s.Payload)+recordBytes) + Steps(s.Steps)
}

// Steps returns the memory of the steps of a submission.
func Steps(steps []model.Step) model.Bytes {
	n := model.Bytes(len(steps)) * submittedStepBytes
	for i := range steps {
		st := &steps[i]
		n += model.Bytes(len(st.DependsOn))*dependencyBytes + model.Bytes(len(st.Label)+len(st.NearRack))
	}
	return n
}
