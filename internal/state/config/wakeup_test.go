package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qm "quetzalmount.dev/quetzalmount"
	"quetzalmount.dev/quetzalmount/internal/standin/logsrv"
	"quetzalmount.dev/quetzalmount/internal/state/board"
	"quetzalmount.dev/quetzalmount/internal/state/config"
	"quetzalmount.dev/quetzalmount/internal/state/table"
)

// lateLog is a log that looks for records when a read begins, and waits for further ones only lateness later. A read misses the records
// that are appended in between.
type lateLog struct {
	qm.Log
	lateness time.Duration
}

func (l lateLog) Read(ctx context.Context, id qm.StreamID, from qm.Offset, limit int, wait time.Duration) (qm.Batch, error) {
	b, err := l.Log.Read(ctx, id, from, limit, 0)
	if err != nil || len(b.Records) > 0 || wait == 0 {
		return b, err
	}
	time.Sleep(l.lateness)
	if b, err = l.Log.Read(ctx, id, from, limit, 0); err != nil {
		return b, err
	}
	if _, err := l.Log.Read(ctx, id, b.NextOffset, limit, wait-l.lateness); err != nil {
		return qm.Batch{}, err
	}
	return l.Log.Read(ctx, id, from, limit, 0)
}

// TestMissedWakeup guards against an edit that is in force late because the log has woken no router's read: the edit before has made all of
// them begin a new one, and a slow log misses the next edit for each of these.
func TestMissedWakeup(t *testing.T) {
	const inForceBound = 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		log := logsrv.New(logsrv.Options{})
		names := []qm.InstanceID{"a", "b", "c"}
		var boards []*board.Board
		for _, self := range names {
			var members qm.Members
			for _, n := range names {
				members = append(members, qm.Member{Instance: n, State: qm.Live, IsSelf: n == self})
			}
			b := board.New()
			b.Members.Store(members)
			boards = append(boards, b)
			c := config.New(t.Context(), config.Options{Log: lateLog{log, 200 * time.Millisecond}, Board: b})
			defer func() { _ = c.Close() }()
		}
		apply := func(group string) {
			t.Helper()
			change := table.Change{Key: table.Key{Kind: table.Group, Name: group}}
			if out, err := config.NewEditor(log, nil).Apply(t.Context(), []table.Change{change}); err != nil || out.Result != config.Accepted {
				t.Fatalf("outcome %+v, error %v", out, err)
			}
		}
		time.Sleep(time.Second)
		apply("first")
		time.Sleep(50 * time.Millisecond)
		apply("second")
		time.Sleep(inForceBound)
		synctest.Wait()
		for i, b := range boards {
			if conf, ok := b.Table.Load(); !ok || conf.Groups["second"] == nil {
				t.Errorf("router %s does not have the second edit %v after it was accepted", names[i], inForceBound)
			}
		}
	})
}
