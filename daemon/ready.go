package daemon

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// view returns the present state of the host for its health report.
func (h *Host) view() hostView {
	v := hostView{notReadyReason: h.notReadyReason()}
	if t := h.config.InForce(); t != nil {
		v.tableRevision = uint64(t.Revision())
	}
	for i := range h.settings.Cells {
		if owner, _, ok := h.members.Owner(ident.CellID(i)); ok && !h.members.ownerSuspected(owner) {
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

// notReadyReason returns why this host cannot accept requests, or "" if it can.
func (h *Host) notReadyReason() string {
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
