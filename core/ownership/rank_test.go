package ownership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// mixedHosts returns n hosts, every sixth with 0.8 of a core and the others with 0.192 of a core.
func mixedHosts(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Instance: instance(fmt.Sprint("h", i)), DataCentre: "dc", MilliCPU: 192}
		if i%6 == 0 {
			members[i].MilliCPU = 800
		}
	}
	return members
}

// Guards against a cell on a host with too little processor time for it while stronger hosts are idle.
func TestCellsGoToStrongHosts(t *testing.T) {
	members := mixedHosts(36)
	owners := make(map[string]bool)
	for cell := range 64 {
		ranked := Rank(Cell{ID: ident.CellID(cell), DataCentre: "dc"}, members)
		require.Len(t, ranked, 36)
		for i, m := range ranked {
			require.Equal(t, i < 6, m.MilliCPU == 800, "cell %d, rank %d", cell, i)
		}
		owners[string(ranked[0].Instance.Host)] = true
	}
	require.Len(t, owners, 6, "cells spread over all strong hosts")
}

// Guards against a ranking that depends on small differences between hosts and puts all cells on one of them.
func TestSimilarHostsShareCells(t *testing.T) {
	members := mixedHosts(8)
	for i := range members {
		members[i].MilliCPU = 700 + int64(i)
	}
	owners := make(map[string]bool)
	for cell := range 64 {
		owners[string(Rank(Cell{ID: ident.CellID(cell), DataCentre: "dc"}, members)[0].Instance.Host)] = true
	}
	require.Greater(t, len(owners), 4)
}

// Guards against a weak host that keeps a cell which it claimed before the strong hosts had started.
func TestWeakOwnerHandsOverToStrongerHost(t *testing.T) {
	m := newOwner("a")
	m.cfg.HandOverAfter, m.cfg.HandOverToStrongerAfter = 100*m.cfg.TTL, 5*time.Second
	m.SetMembers([]Member{
		{Instance: instance("a"), DataCentre: "dc", MilliCPU: 192},
		{Instance: instance("b"), DataCentre: "dc", MilliCPU: 800},
	}, at(1))
	require.Empty(t, m.Step(at(5.9)))
	require.Equal(t, []Action{{Kind: HandOver, Cell: 1, Epoch: 5}}, m.Step(at(6)))
}

// Guards against a hand-over to a slightly stronger host, which would interrupt the cell at each restart of that host.
func TestNoHandOverToSimilarHost(t *testing.T) {
	m := newOwner("a")
	m.cfg.HandOverAfter, m.cfg.HandOverToStrongerAfter = 100*m.cfg.TTL, 5*time.Second
	for i := range 100 {
		other := instance(fmt.Sprint("x", i))
		members := []Member{
			{Instance: instance("a"), DataCentre: "dc", MilliCPU: 600},
			{Instance: other, DataCentre: "dc", MilliCPU: 900},
		}
		if Rank(m.cfg.Cells[0], members)[0].Instance == other {
			m.SetMembers(members, at(1))
			break
		}
	}
	require.Empty(t, m.Step(at(7)))
}

// Guards against hand-overs to a slightly stronger host after each of its restarts: 511 and 512 thousandths of a core
// are in different tiers.
func TestNoHandOverToSimilarHostInNextTier(t *testing.T) {
	m := newOwner("a")
	m.cfg.HandOverAfter, m.cfg.HandOverToStrongerAfter = 100*m.cfg.TTL, 5*time.Second
	m.SetMembers([]Member{
		{Instance: instance("a"), DataCentre: "dc", MilliCPU: 500},
		{Instance: instance("b"), DataCentre: "dc", MilliCPU: 520},
	}, at(1))
	require.Empty(t, m.Step(at(7)))
}
