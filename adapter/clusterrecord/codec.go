// Package clusterrecord encodes the member and ownership records in the store as JSON, so that the platform's tools can
// read them.
package clusterrecord

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
)

// Codec implements cluster.Codec.
type Codec struct{}

var _ cluster.Codec = Codec{}

type member struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	DataCentre  ident.DataCentre  `json:"data_centre"`
	Address     string            `json:"address"`
	MilliCPU    int64             `json:"milli_cpu,omitempty"`
}

type owner struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// ShareShift gives the owner's share as 1/2^ShareShift.
	ShareShift  uint8         `json:"share_shift"`
	Released    bool          `json:"released,omitempty"`
	Successor   *successor    `json:"successor,omitempty"`
	ByReach     bool          `json:"by_reach,omitempty"`
	Unconfirmed []predecessor `json:"unconfirmed,omitempty"`
}

type successor struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

type predecessor struct {
	Host        ident.HostID      `json:"host"`
	Incarnation ident.Incarnation `json:"incarnation"`
	ShareShift  uint8             `json:"share_shift"`
}

var errNoHost = errors.New("record names no host")

func encode(v any) []byte {
	// Encoding cannot fail: the records hold only strings, numbers, booleans and slices of them.
	b, _ := json.Marshal(v)
	return b
}

// EncodeMember returns the value of a member record.
func (Codec) EncodeMember(m cluster.MemberRecord) []byte {
	return encode(member{m.Instance.Host, m.Instance.Incarnation, m.DataCentre, m.Address, m.MilliCPU})
}

// DecodeMember decodes the value of a member record. A record without a host is an error.
func (Codec) DecodeMember(value []byte) (cluster.MemberRecord, error) {
	var m member
	if err := json.Unmarshal(value, &m); err != nil {
		return cluster.MemberRecord{}, fmt.Errorf("member record: %w", err)
	}
	if m.Host == "" {
		return cluster.MemberRecord{}, errNoHost
	}
	i := ident.Instance{Host: m.Host, Incarnation: m.Incarnation}
	return cluster.MemberRecord{Instance: i, DataCentre: m.DataCentre, Address: m.Address, MilliCPU: m.MilliCPU}, nil
}

// EncodeOwner returns the value of an ownership record.
func (Codec) EncodeOwner(r ownership.Record) []byte {
	o := owner{
		Host: r.Holder.Host, Incarnation: r.Holder.Incarnation, ShareShift: r.ShareShift, Released: r.Released, ByReach: r.ByReach,
	}
	if r.Successor != (ident.Instance{}) {
		o.Successor = &successor{r.Successor.Host, r.Successor.Incarnation}
	}
	for _, p := range r.Unconfirmed {
		o.Unconfirmed = append(o.Unconfirmed, predecessor{p.Instance.Host, p.Instance.Incarnation, p.ShareShift})
	}
	return encode(o)
}

// DecodeOwner decodes the value of an ownership record. A record without a host is an error.
func (Codec) DecodeOwner(value []byte) (ownership.Record, error) {
	var o owner
	if err := json.Unmarshal(value, &o); err != nil {
		return ownership.Record{}, fmt.Errorf("ownership record: %w", err)
	}
	if o.Host == "" {
		return ownership.Record{}, errNoHost
	}
	r := ownership.Record{
		Holder: ident.Instance{Host: o.Host, Incarnation: o.Incarnation}, ShareShift: o.ShareShift, Released: o.Released,
		ByReach: o.ByReach,
	}
	if o.Successor != nil {
		r.Successor = ident.Instance{Host: o.Successor.Host, Incarnation: o.Successor.Incarnation}
	}
	for _, p := range o.Unconfirmed {
		i := ident.Instance{Host: p.Host, Incarnation: p.Incarnation}
		r.Unconfirmed = append(r.Unconfirmed, ownership.Predecessor{Instance: i, ShareShift: p.ShareShift})
	}
	return r, nil
}
