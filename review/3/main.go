//go:build review

// Command 3 stops a gateway while orders wait in its queue for a target, and looks for
// orders that it had read and that get no answer.
package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutfield/chestnutfield/platform/fakestore"
	"github.com/chestnutfield/chestnutfield/review/standin"
)

const (
	work = 600 * time.Millisecond
	// objective is the route's latencySloS; deadline is both its timeoutS and what the
	// clients wait.
	objective = 4 * time.Second
	deadline  = 10 * time.Second
	// The orders are sent while a stopping gateway still gets new connections: the
	// platform takes it out after two misses, a second apart. The four slots of the
	// targets serve about as many in the rest of the grace.
	orders    = 50
	firstSent = 800 * time.Millisecond
	lastSent  = 2100 * time.Millisecond
	// lossSlack is lossSlackS, lastSixth the last sixth of graceS.
	lossSlack = 200 * time.Millisecond
	lastSixth = standin.Grace / 6
)

func main() { os.Exit(run()) }

func run() int {
	d, err := standin.NewDeployment(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.ExitNotRun
	}
	defer d.Close()
	targets, err := start(d)
	if err != nil {
		d.Record.Say("the case could not run: %v", err)
		return standin.ExitNotRun
	}
	stopped, answers := d.Gateways[0], make([]standin.Answer, orders)
	stopAt := time.Now()
	if standin.Trouble() {
		d.Record.Say("SIGTERM to %s", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
	}
	time.Sleep(firstSent)
	var clients sync.WaitGroup
	for i := range orders {
		time.Sleep((lastSent - firstSent) / orders)
		clients.Go(func() {
			answers[i] = standin.Send(d.Record, stopped.Callers, http.MethodPost, "/order/", fmt.Sprint("order-", i), deadline)
		})
	}
	clients.Wait()
	return judge(d, targets, answers, stopAt)
}

// start starts two gateways and two targets.
func start(d *standin.Deployment) ([]*standin.Target, error) {
	var targets []*standin.Target
	for _, id := range []string{"i-1", "i-2"} {
		t, err := d.AddTarget(id, "orderdesk", work)
		if err != nil {
			return nil, err
		}
		targets = append(targets, t)
	}
	d.Store.WriteConfiguration(fakestore.Configuration{Version: 1, HealthPath: standin.HealthPath, Routes: []fakestore.Route{
		standin.Route("order", "/order/", "orderdesk", false, deadline, objective),
	}})
	return targets, d.StartGateways(2)
}

// judge looks for orders whose connection ended without an answer later than lossSlack
// after they were sent. It leaves out those at which a target was at work in the last
// sixth of the grace; all were sent within 3 s of the signal.
func judge(d *standin.Deployment, targets []*standin.Target, answers []standin.Answer, stopAt time.Time) int {
	lost := 0
	for _, a := range answers {
		if a.Status != 0 || a.Ended.Sub(a.Sent) <= lossSlack {
			continue
		}
		atWork := slices.ContainsFunc(targets, func(t *standin.Target) bool {
			return slices.ContainsFunc(t.Runs(), func(r standin.Run) bool { return r.Request == a.ID })
		})
		if atWork && a.Ended.Sub(stopAt) >= standin.Grace-lastSixth {
			d.Record.Say("not counted: %s was at work at its target %v after the signal", a.ID, a.Ended.Sub(stopAt).Round(time.Millisecond))
			continue
		}
		lost++
		d.Record.Say("LOST: %s was read, waited %v and got no answer: %v", a.ID, a.Ended.Sub(a.Sent).Round(time.Millisecond), a.Err)
	}
	d.Record.Say("%d of %d orders lost", lost, len(answers))
	if lost > 0 {
		return standin.ExitBroken
	}
	return standin.ExitHeld
}
