// Package ident defines the identifier types shared by the decision packages and their adapters.
package ident

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// HostID names a relay host, unique in a deployment and stable across restarts.
	HostID string
	// DataCentre names the data centre in which a host runs.
	DataCentre string
	// Rack names a rack inside a data centre.
	Rack string
	// ClassName names a class of work, one row of the operators' table.
	ClassName string
	// TenantName names the team a class belongs to.
	TenantName string
	// TargetID names a back end that answers requests.
	TargetID string
	// WorkerID names a host that runs tasks.
	WorkerID string
	// CellID numbers a cell; cells are numbered from 0.
	CellID uint32
)

// Incarnation distinguishes the successive processes of one relay host. It grows with each start.
type Incarnation uint64

// Epoch is the fencing token of one ownership of a cell. It grows with each change of owner.
type Epoch uint64

// Instance is one process of a relay host.
type Instance struct {
	Host        HostID
	Incarnation Incarnation
}

// String returns the instance as host/incarnation.
func (i Instance) String() string {
	return fmt.Sprintf("%s/%d", i.Host, i.Incarnation)
}

// JobID identifies a job. It holds the cell that accepted the job, so that any relay host can find the owner.
type JobID struct {
	Cell  CellID
	Epoch Epoch
	Seq   uint64
}

// String returns the external form <cell>-<epoch>-<seq>.
func (j JobID) String() string {
	return fmt.Sprintf("%d-%d-%d", j.Cell, j.Epoch, j.Seq)
}

// ParseJobID parses the external form of a JobID.
func ParseJobID(s string) (JobID, error) {
	parts := strings.Split(s, "-")
	if len(parts) != 3 {
		return JobID{}, fmt.Errorf("job id %q: want <cell>-<epoch>-<seq>", s)
	}
	cell, err := strconv.ParseUint(parts[0], 10, 32)
	if err != nil {
		return JobID{}, fmt.Errorf("job id %q: cell: %w", s, err)
	}
	epoch, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return JobID{}, fmt.Errorf("job id %q: epoch: %w", s, err)
	}
	seq, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return JobID{}, fmt.Errorf("job id %q: sequence: %w", s, err)
	}
	return JobID{Cell: CellID(cell), Epoch: Epoch(epoch), Seq: seq}, nil
}

// CallerAssignedJobID returns the id of a job whose number is assigned by its caller. It has epoch 0, which no owner
// has, so that it never equals an id assigned by a cell.
func CallerAssignedJobID(cell CellID, number uint64) JobID {
	return JobID{Cell: cell, Seq: number}
}

// CallerAssigned reports whether the number of the job was assigned by its caller.
func (j JobID) CallerAssigned() bool {
	return j.Epoch == 0
}

// taskNumberBits is the number of low bits of a task index that hold the number of the task within its group.
const taskNumberBits = 20

// TaskID identifies one task of a job. Index holds the number of its task group and, in the low taskNumberBits, its
// number within the group; both count from 0.
type TaskID struct {
	Job   JobID
	Index uint32
}

// TaskIndex returns the index of the task with number member in the group with number group.
func TaskIndex(group, member int) uint32 {
	return uint32(group)<<taskNumberBits | uint32(member)
}

// copyBit is set in the index of the copy of a task. It lies above the numbers of the tasks of any job.
const copyBit = 1 << (taskNumberBits - 1)

// Copy returns the id under which the planner books a copy of the task. No other part of the system uses it.
func (t TaskID) Copy() TaskID {
	t.Index |= copyBit
	return t
}

// Original returns the id of the task if t is the id of its copy, else t.
func (t TaskID) Original() TaskID {
	t.Index &^= copyBit
	return t
}

// Group returns the number of the task group.
func (t TaskID) Group() int {
	return int(t.Index >> taskNumberBits)
}

// Member returns the number of the task within its group.
func (t TaskID) Member() int {
	return int(t.Index & (1<<taskNumberBits - 1))
}

// String returns the external form <job>.<index>.
func (t TaskID) String() string {
	return fmt.Sprintf("%s.%d", t.Job, t.Index)
}

// ParseTaskID parses the external form of a TaskID.
func ParseTaskID(s string) (TaskID, error) {
	job, index, found := strings.Cut(s, ".")
	if !found {
		return TaskID{}, fmt.Errorf("task id %q: want <job>.<index>", s)
	}
	id, err := ParseJobID(job)
	if err != nil {
		return TaskID{}, err
	}
	n, err := strconv.ParseUint(index, 10, 32)
	if err != nil {
		return TaskID{}, fmt.Errorf("task id %q: index: %w", s, err)
	}
	return TaskID{Job: id, Index: uint32(n)}, nil
}

// Attempt numbers the starts of one task, from 1.
type Attempt uint32
