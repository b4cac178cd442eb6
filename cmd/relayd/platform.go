package main

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// settingsPollInterval is how often the settings file is checked for changes, besides on SIGHUP.
const settingsPollInterval = 2 * time.Second

// platformCommand returns the command that runs a host on a platform that lists its workers and queues in a store. The
// platform's settings file holds everything that differs between hosts. On invalid settings the command sets code to
// exitSettings.
func platformCommand(code *int) *cli.Command {
	var (
		path       string
		cells      int
		noCopies   bool
		inboxShare float64
		lookAhead  bool
		standstill time.Duration
		limits     daemon.ClientLimits
	)
	return &cli.Command{
		Name:  "platform",
		Usage: "run one relay host on a platform that lists its workers and queues in a store",
		Flags: append([]cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings file of the platform", Value: platform.DefaultSettingsPath,
				Destination: &path, Sources: cli.EnvVars(platform.SettingsPathVariable),
			},
			&cli.IntFlag{
				Name: "cells", Usage: "cells of the deployment, the same on every host; 0 means one for each region",
				Destination: &cells,
			},
			&cli.FloatFlag{
				Name: "inbox-write-share", Value: daemon.DefaultInboxWriteShare, Destination: &inboxShare,
				Usage: "share of the store's writes with which all hosts together make jobs durable that the owner of their cell " +
					"does not take in time; 0 turns this off; the same on every host",
				Sources: cli.EnvVars(daemon.EnvName("inbox-write-share")),
			},
			&cli.DurationFlag{
				Name: "longest-standstill", Value: daemon.DefaultLongestStandstill, Destination: &standstill,
				Usage: "how long lasting tasks may stand still after the loss of their worker; a limit for the leases of tasks follows " +
					"from it; 0 sets none",
				Sources: cli.EnvVars(daemon.EnvName("longest-standstill")),
			},
			&cli.BoolFlag{
				Name: "no-speculative-copies", Usage: "start no second attempts of overdue tasks, also in groups that allow them",
				Destination: &noCopies, Sources: cli.EnvVars(daemon.EnvName("no-speculative-copies")),
			},
			&cli.BoolFlag{
				Name: daemon.LookAheadFlag, Usage: daemon.LookAheadUsage,
				Destination: &lookAhead, Sources: cli.EnvVars(daemon.EnvName(daemon.LookAheadFlag)),
			},
		}, daemon.ClientLimitFlags(&limits)...),
		Action: func(ctx context.Context, _ *cli.Command) error {
			s, err := platform.ReadSettings(path)
			if err = errors.Join(err, checkInboxShare(inboxShare), daemon.CheckLongestStandstill(standstill)); err != nil {
				*code = exitSettings
				return err
			}
			if err := limits.Validate(); err != nil {
				*code = exitSettings
				return err
			}
			if limits.MemoryMB == 0 {
				limits.MemoryMB = s.MemoryMB
			}
			if limits.MaxDescriptors == 0 {
				limits.MaxDescriptors = s.MaxDescriptors
			}
			settings := jobSettings(s, cells)
			settings.NoSpeculativeCopies = noCopies
			settings.InboxWriteShare = inboxShare
			settings.LongestStandstill = standstill
			settings.LookAhead = lookAhead
			settings.ClientLimits = limits.ApplyMemoryLimit()
			return runPlatform(ctx, path, s, settings)
		},
	}
}

// checkInboxShare checks a share of the store's writes.
func checkInboxShare(share float64) error {
	if !(share >= 0 && share <= 1) {
		return fmt.Errorf("inbox-write-share: %g: want 0 to 1", share)
	}
	return nil
}

func runPlatform(ctx context.Context, path string, s platform.Settings, settings daemon.JobSettings) error {
	sink := decisionlog.NewSink(os.Stdout)
	defer sink.Close()
	log := daemon.NewLogger(daemon.Settings{
		HostID: string(s.Host), DataCentre: string(s.DataCentre), LogFormat: "json", LogLevel: "info",
	}, sink)
	decisions := decisionlog.NewRecorder(log)
	client := platform.NewClient()
	defer client.Close()
	metrics := telemetry.NewRegistry()
	store := platform.NewStore(client, s.StoreAddress, observeStoreCalls(metrics, daemon.NewDependencyMonitor("store", log)))
	ids := daemon.CellIDs(settings.CellCount())
	jobIDOf := func(number uint64) ident.JobID {
		return ident.CallerAssignedJobID(jobs.CellOfNumber(ids, number), number)
	}
	manifests := platform.NewManifestWatcher(store, log)
	var handler *platform.JobHandler
	var requests evacuations.Source
	if settings.EvacuationBound > 0 {
		requests = platform.NewEvacuations(store)
	}
	h, err := daemon.NewJobHost(settings, daemon.JobPorts{
		Metrics:       metrics,
		DecisionLog:   decisions,
		Store:         store,
		Workers:       platform.NewWorkers(client, settings.TaskLease(), jobIDOf, log),
		FollowWorkers: platform.NewWorkerWatcher(store, log).Run,
		Evacuations:   requests,
		FollowTable: func(ctx context.Context, changed func(*table.Table)) {
			manifests.Run(ctx, func(m *platform.Manifest) {
				changed(m.Table)
				handler.SetManifest(m)
			})
		},
		RegisterCallers: func(e *echo.Echo, r *jobs.Router) {
			handler = platform.NewJobHandler(r, decisions)
			handler.Register(e)
		},
		RegisterStatus:    platform.RegisterReady,
		IdleCloseResponse: platform.IdleCloseResponse,
	}, log)
	if err != nil {
		return err
	}
	go watchSettings(ctx, path, s, log)
	return h.Run(ctx)
}

// observeStoreCalls returns an observer that records the number and duration of calls to the store as metrics and
// reports to monitor whether the store answered.
func observeStoreCalls(m *telemetry.Registry, monitor *daemon.DependencyMonitor) platform.CallObserver {
	return func(path string, status int, took time.Duration) {
		call := telemetry.Label{Name: "call", Value: path}
		m.Counter("store_calls_total", call, telemetry.Label{Name: "status", Value: strconv.Itoa(status)}).Inc(1)
		m.Histogram("store_call_us", call).Update(took.Microseconds())
		answered := status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests
		monitor.Record(answered, "last status "+strconv.Itoa(status))
	}
}

func jobSettings(s platform.Settings, cells int) daemon.JobSettings {
	return daemon.JobSettings{
		HostID: s.Host, DataCentre: s.DataCentre, Regions: s.Regions, Cells: cells,
		CallerAddress: s.CallerAddress, StatusAddress: s.ReadyAddress, PeerAddress: s.PeerAddress, MetricsAddress: s.MetricsAddress,
		WorkerLease: s.WorkerLease, StopTime: s.StopTime, SmallestLease: s.SmallestLease, StoreWrites: s.StoreWrites, Grace: s.Grace,
		MilliCPU: s.MilliCPU, EvacuationBound: s.EvacuationBound, OffRackSlowdown: s.OffRackSlowdown,
	}
}

// watchSettings rereads the settings file on SIGHUP and when the file has changed, and logs whether the new settings
// need a restart. A running host uses only the identity, the addresses and the limits in the file, and changing one of
// those takes a restart.
func watchSettings(ctx context.Context, path string, inUse platform.Settings, log *logrus.Entry) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	lastModified := modTime(path)
	for {
		reloadRequested := false
		select {
		case <-hup:
			reloadRequested = true
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		modifiedAt := modTime(path)
		if !reloadRequested && modifiedAt.Equal(lastModified) {
			continue
		}
		lastModified = modifiedAt
		reloaded, err := platform.ReadSettings(path)
		switch {
		case err != nil:
			log.WithError(err).Error("settings not reloaded: the previous settings remain in use")
		case reflect.DeepEqual(reloaded, inUse):
			log.Info("settings reloaded: nothing that this host uses has changed")
		default:
			log.Warn("settings reloaded: a changed identity, address or limit takes effect at the next start")
		}
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
