package cluster

import (
	"context"
	"time"

	"go.uber.org/zap"

	"camphorpulley.org/base/logs"
	"camphorpulley.org/base/worker"
	"camphorpulley.org/core"
	"camphorpulley.org/core/prefix"
)

const (
	// inventoryCheckInterval is the time between two checks whether the router
	// knows enough to query engines: the store is read in some tens of milliseconds.
	inventoryCheckInterval = 20 * time.Millisecond
	// inventoryStartWindow is how long after its start a router may still begin to
	// query: later, the engines' caches are known from requests.
	inventoryStartWindow = 3 * time.Second
	// inventoryRepeatDelay is the time after which the inventories are sent once
	// more: routers that start together differ by some hundred milliseconds.
	inventoryRepeatDelay = 600 * time.Millisecond
	// inventoryTimeout bounds the query to one engine.
	inventoryTimeout = time.Second
)

// fetchCacheInventories asks the engines that the fleet assigns to this router
// which prompt parts their caches hold. It waits until the fleet can assign them,
// at most inventoryStartWindow, and records each inventory, which the next
// heartbeat sends to the other routers.
func (r *Router) fetchCacheInventories(ctx context.Context) {
	startedAt := time.Now()
	engines, ready := r.fleet.InventoryTargets(startedAt)
	for !ready && ctx.Err() == nil && time.Since(startedAt) < inventoryStartWindow {
		worker.Sleep(ctx, inventoryCheckInterval)
		engines, ready = r.fleet.InventoryTargets(time.Now())
	}
	inventories := make(map[core.UpstreamID][]prefix.Part, len(engines))
	for _, u := range engines {
		parts, err := r.fetchCacheInventory(ctx, u.Address)
		r.log.Info("cache_inventory_fetched", zap.String("upstream", string(u.ID)), zap.Int("parts", len(parts)), logs.Err(err))
		if err == nil {
			inventories[u.ID] = parts
			r.fleet.RecordInventory(time.Now(), u.ID, parts)
		}
	}
	// Routers that start at the same time may have missed the first heartbeat.
	worker.Sleep(ctx, inventoryRepeatDelay)
	for id, parts := range inventories {
		r.fleet.RecordInventory(time.Now(), id, parts)
	}
}

// fetchCacheInventory asks one engine. What it responds ends neither the process nor the
// queries of the others.
func (r *Router) fetchCacheInventory(ctx context.Context, address string) (parts []prefix.Part, err error) {
	queryCtx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	if panicked := worker.Protect(func() { parts, err = r.adapter.FetchCache(queryCtx, address) }); panicked != nil {
		return nil, panicked
	}
	return parts, err
}
