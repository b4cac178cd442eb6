package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/decisionlog"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/platform"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// settingsCheck is how often the settings file is looked at for a change without a signal.
const settingsCheck = 2 * time.Second

// platformCommand runs a host on the users' platform, whose settings file names everything that differs between hosts.
func platformCommand(code *int) *cli.Command {
	var (
		path  string
		cells int
	)
	return &cli.Command{
		Name:  "platform",
		Usage: "run one relay host on a platform that lists workers and queues in its store",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings file of the platform", Value: platform.DefaultSettingsPath,
				Destination: &path, Sources: cli.EnvVars(platform.SettingsPathVariable),
			},
			&cli.IntFlag{
				Name: "cells", Usage: "cells of the deployment, the same on every host; 0 means one for each region",
				Destination: &cells,
			},
		},
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := platform.ReadSettings(path)
			if err != nil {
				*code = exitSettings
				return err
			}
			return runPlatform(ctx, path, s, cells)
		},
	}
}

func runPlatform(ctx context.Context, path string, s platform.Settings, cells int) error {
	sink := decisionlog.NewSink(os.Stdout)
	defer sink.Close()
	log := daemon.NewLogger(daemon.Settings{
		HostID: string(s.Host), DataCentre: string(s.DataCentre), LogFormat: "json", LogLevel: "info",
	}, sink)
	journal := decisionlog.NewRecorder(log)
	client := platform.NewClient()
	defer client.Close()
	metrics := telemetry.NewRegistry()
	store := platform.NewStore(client, s.StoreAddress, storeCalls(metrics, daemon.NewDependencyMonitor("store", log)))
	settings := jobSettings(s, cells)
	ids := daemon.CellIDs(settings.CellCount())
	jobOf := func(number uint64) ident.JobID {
		return ident.CallerAssignedJobID(jobs.CellOfNumber(ids, number), number)
	}
	manifests := platform.NewManifestWatcher(store, log)
	var front *platform.JobHandler
	h, err := daemon.NewJobHost(settings, daemon.JobPorts{
		Metrics:       metrics,
		Journal:       journal,
		Store:         store,
		Workers:       platform.NewWorkers(client, s.WorkerLease, jobOf, log),
		FollowWorkers: platform.NewWorkerWatcher(store, log).Run,
		FollowTable: func(ctx context.Context, changed func(*table.Table)) {
			manifests.Run(ctx, func(m *platform.Manifest) {
				changed(m.Table)
				front.SetManifest(m)
			})
		},
		RegisterCallers: func(e *echo.Echo, r *jobs.Router) {
			front = platform.NewJobHandler(r, journal)
			front.Register(e)
		},
		RegisterStatus: platform.RegisterReady,
	}, log)
	if err != nil {
		return err
	}
	go followSettings(ctx, path, s, log)
	return h.Run(ctx)
}

// storeCalls counts the calls to the store and how long they take.
func storeCalls(m *telemetry.Registry, store *daemon.DependencyMonitor) platform.CallObserver {
	return func(path string, status int, took time.Duration) {
		call := telemetry.Label{Name: "call", Value: path}
		m.Counter("store_calls_total", call, telemetry.Label{Name: "status", Value: strconv.Itoa(status)}).Inc(1)
		m.Histogram("store_call_us", call).Update(took.Microseconds())
		answered := status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		store.Record(answered, "last status "+strconv.Itoa(status))
	}
}

func jobSettings(s platform.Settings, cells int) daemon.JobSettings {
	return daemon.JobSettings{
		HostID: s.Host, DataCentre: s.DataCentre, Regions: s.Regions, Cells: cells,
		CallerAddress: s.CallerAddress, StatusAddress: s.ReadyAddress, PeerAddress: s.PeerAddress, MetricsAddress: s.MetricsAddress,
		WorkerLease: s.WorkerLease, StopTime: s.StopTime, SmallestLease: s.SmallestLease, StoreWrites: s.StoreWrites, Grace: s.Grace,
		MilliCPU: s.MilliCPU,
	}
}

// followSettings reads the settings file again after SIGHUP and when it has changed. What a running host uses of it is
// its identity, its addresses and the bounds of the platform, so that a change of one of them takes a restart.
func followSettings(ctx context.Context, path string, inUse platform.Settings, log *logrus.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsCheck)
	defer tick.Stop()
	changedAt := modified(path)
	for {
		asked := false
		select {
		case <-hup:
			asked = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		at := modified(path)
		if !asked && at.Equal(changedAt) {
			continue
		}
		changedAt = at
		next, err := platform.ReadSettings(path)
		switch {
		case err != nil:
			log.WithError(err).Error("settings not reloaded: the ones in use stay in force")
		case reflect.DeepEqual(next, inUse):
			log.Info("settings reloaded: nothing that this host uses has changed")
		default:
			log.Warn("settings reloaded: a changed identity, address or bound takes effect at the next start")
		}
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
