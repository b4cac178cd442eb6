package daemon

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// clusterGrants provides the grants of the cluster service. It implements cell.Grants by way of the host, because the
// cluster service is created after the cell service.
type clusterGrants struct {
	host *Host
}

// Grant implements cell.Grants. It ignores the time, because the cluster service reads the same clock itself.
func (g clusterGrants) Grant(id ident.CellID, _ time.Time) ownership.Grant {
	return g.host.cluster.Grant(id)
}
