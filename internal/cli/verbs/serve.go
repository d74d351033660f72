package verbs

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"quetzalmount.dev/quetzalmount/internal/entry/server"
	"quetzalmount.dev/quetzalmount/internal/infra/conf"
	"quetzalmount.dev/quetzalmount/internal/infra/hangup"
	"quetzalmount.dev/quetzalmount/internal/infra/logs"
	"quetzalmount.dev/quetzalmount/internal/state/table"
	"quetzalmount.dev/quetzalmount/platform"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Usage: "INI `FILE` with the settings of this process", Sources: cli.EnvVars("QUETZALMOUNT_SETTINGS"),
	}
}

func serveCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: hangup.ServeCommand, Usage: "run the router until SIGTERM, then finish all requests and exit",
		UsageText: "quetzalmount serve --settings /etc/quetzalmount/router.ini",
		Flags:     []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.String("settings") == "" {
				return usageErrorf("serve needs --settings FILE")
			}
			sighup := make(chan os.Signal, 1)
			signal.Notify(sighup, syscall.SIGHUP)
			defer signal.Stop(sighup)
			settings, err := conf.Load(c.String("settings"))
			if err != nil {
				return err
			}
			log, err := logs.New(stdout, settings.LogLevel)
			if err != nil {
				return err
			}
			s, err := server.New(settings, Version, log)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			go checkOnHangup(ctx, sighup, c.String("settings"), log)
			return s.Run(ctx)
		},
	}
}

// checkOnHangup validates the settings file again at each signal until ctx is done. Settings are fixed while a process runs, so changes take
// effect at the next start.
func checkOnHangup(ctx context.Context, sighup <-chan os.Signal, path string, log logr.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighup:
		}
		if _, err := conf.Load(path); err != nil {
			log.Error(err, "settings not reloaded, the old ones stay in force")
			continue
		}
		log.Info("settings reloaded", "Path", path)
	}
}

func platformCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: hangup.PlatformCommand, Usage: "run the router on the users' platform until SIGTERM, then finish all requests and exit",
		UsageText: "quetzalmount platform --settings /etc/quetzalmount/local.toml",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "INI `FILE` that the platform renders from deploy/router.ini",
				Sources: cli.EnvVars(platform.SettingsEnv),
			},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least `LEVEL` of log lines: debug, info or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return usageErrorf("platform needs --settings FILE or %s", platform.SettingsEnv)
			}
			settings, err := platform.LoadSettings(path)
			if err != nil {
				return &exitError{code: ExitUsage, err: err}
			}
			queue := logs.NewQueue(stdout)
			defer func() { _ = queue.Close() }()
			log, err := logs.New(queue, c.String("log-level"))
			if err != nil {
				return usageErrorf("--log-level: %v", err)
			}
			r, err := platform.New(path, settings, log.WithValues("Instance", settings.Instance.Name))
			if err != nil {
				return err
			}
			return r.Run(ctx)
		},
	}
}

func checkCommand(stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings and a sheet without contacting anything",
		UsageText: "quetzalmount check --settings router.ini --sheet table.csv",
		Flags: []cli.Flag{
			settingsFlag(), &cli.StringFlag{Name: "sheet", Usage: "CSV `FILE` with the configuration table"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.String("settings") == "" && c.String("sheet") == "" {
				return usageErrorf("check needs --settings FILE or --sheet FILE")
			}
			if f := c.String("settings"); f != "" {
				if _, err := conf.Load(f); err != nil {
					return err
				}
				fmt.Fprintf(stdout, "%s: valid\n", f)
			}
			if f := c.String("sheet"); f != "" {
				if err := checkSheet(f); err != nil {
					return err
				}
				fmt.Fprintf(stdout, "%s: valid\n", f)
			}
			return nil
		},
	}
}

func checkSheet(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.WithMessage(err, "read sheet")
	}
	defer func() { _ = f.Close() }()
	if _, err := table.ReadSheet(f); err != nil {
		return &exitError{code: ExitUsage, err: errors.WithMessage(err, path)}
	}
	return nil
}
