package daemon

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// view returns what this host knows now.
func (h *Host) view() hostView {
	v := hostView{notReady: h.notReady()}
	if t := h.config.InForce(); t != nil {
		v.tableRevision = uint64(t.Revision())
	}
	for i := range h.settings.Cells {
		if owner, _, ok := h.members.Owner(ident.CellID(i)); ok && !h.members.doubtful(owner) {
			v.ownedCells++
		}
	}
	for _, m := range h.cluster.Members() {
		if m.Running() {
			v.members++
		}
	}
	return v
}

// notReady returns why this host cannot serve callers, or "".
func (h *Host) notReady() string {
	t, err := h.config.CurrentTable()
	switch {
	case err != nil:
		return err.Error()
	case t.Revision() == 0:
		return "no table has been committed yet"
	}
	for _, load := range h.members.Loads() {
		if load.Usable {
			return ""
		}
	}
	return "no cell with targets has a known owner"
}
