package ledger

import (
	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
)

// adoptedShards is small because an instance holds the ledgers of few others at a time.
const adoptedShards = 8

// adoptedLedgers holds the ledgers taken over from other instances, by issuer.
type adoptedLedgers = shard.Map[ident.Instance, *Ledger]

func newAdoptedLedgers() *adoptedLedgers {
	return shard.NewMap[ident.Instance, *Ledger](adoptedShards, func(i ident.Instance) uint64 {
		return xxhash.Sum64String(i.String())
	})
}
