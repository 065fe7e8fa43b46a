package agent

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/dghubble/sling"

	"apricotwinch"
	"apricotwinch/leaser"
	"apricotwinch/messenger"
)

// Worker calls the platform's worker, which runs tasks on the host. Each function fails with the
// kind that the worker returned, with Unreachable if nothing was sent, or with Unknown if the
// worker may have performed the call.
type Worker struct {
	// Start starts a task under a lease.
	Start func(ctx context.Context, start messenger.WorkerStart) error
	// Renew sets new ends of leases.
	Renew func(ctx context.Context, renew messenger.WorkerRenew) error
	// Throttle sets the share of its processors that a task may use.
	Throttle func(ctx context.Context, throttle messenger.WorkerThrottle) error
	// Stop stops a task and returns how it ended.
	Stop func(ctx context.Context, stop messenger.WorkerStop) (messenger.WorkerTask, error)
	// Forget deletes the worker's records of ended tasks.
	Forget func(ctx context.Context, forget messenger.WorkerForget) error
	// Tasks returns the running tasks, and the ended ones that Forget has not deleted.
	Tasks func(ctx context.Context) (messenger.WorkerTasks, error)
}

// NewHTTPWorker returns a Worker that calls the worker's HTTP API at the base URL.
func NewHTTPWorker(base string, client *http.Client) *Worker {
	api := workerAPI{sling: sling.New().Client(client).Base(base)}
	return &Worker{
		Start: func(ctx context.Context, start messenger.WorkerStart) error {
			return api.post(ctx, "/v1/start", start, nil)
		},
		Renew: func(ctx context.Context, renew messenger.WorkerRenew) error {
			return api.post(ctx, "/v1/renew", renew, nil)
		},
		Throttle: func(ctx context.Context, throttle messenger.WorkerThrottle) error {
			return api.post(ctx, "/v1/throttle", throttle, nil)
		},
		Stop: api.stop,
		Forget: func(ctx context.Context, forget messenger.WorkerForget) error {
			return api.post(ctx, "/v1/forget", forget, nil)
		},
		Tasks: api.tasks,
	}
}

// workerAPI calls the worker over HTTP.
type workerAPI struct {
	sling *sling.Sling
}

// workerError is the body of the worker's error responses.
type workerError struct {
	Kind apricotwinch.Kind `json:"kind"`
	Text string            `json:"text"`
}

func (w workerAPI) post(ctx context.Context, path string, body, result any) error {
	return w.call(ctx, path, w.sling.New().Post(path).BodyJSON(body), result)
}

func (w workerAPI) tasks(ctx context.Context) (messenger.WorkerTasks, error) {
	var tasks messenger.WorkerTasks
	err := w.call(ctx, "/v1/tasks", w.sling.New().Get("/v1/tasks"), &tasks)
	return tasks, err
}

// stop stops a task and returns how it ended. If the worker confirms without the final state of
// the task, stop looks it up in the worker's list of tasks.
func (w workerAPI) stop(ctx context.Context, stop messenger.WorkerStop) (messenger.WorkerTask, error) {
	var task messenger.WorkerTask
	if err := w.post(ctx, "/v1/stop", stop, &task); err != nil {
		return task, err
	}
	if task.Phase != "" {
		return task, nil
	}
	tasks, err := w.tasks(ctx)
	if err != nil {
		return task, err
	}
	for _, t := range tasks.Tasks {
		if t.Attempt == stop.Attempt {
			return t, nil
		}
	}
	return task, apricotwinch.Errorf(apricotwinch.NotFound, "task %s: the worker does not list it", leaser.IDOf(stop.Attempt))
}

func (w workerAPI) call(ctx context.Context, path string, request *sling.Sling, result any) error {
	req, err := request.Request()
	if err != nil {
		return apricotwinch.Errorf(apricotwinch.Invalid, "worker %s: %w", path, err)
	}
	var failure workerError
	resp, err := w.sling.Do(req.WithContext(ctx), result, &failure)
	if resp == nil {
		return apricotwinch.Errorf(transportErrorKind(err), "worker %s: %w", path, err)
	}
	defer resp.Body.Close()
	switch {
	case err != nil:
		return apricotwinch.Errorf(apricotwinch.Unknown, "worker %s: %w", path, err)
	case resp.StatusCode/100 == 2:
		return nil
	case failure.Kind == "":
		return apricotwinch.Errorf(apricotwinch.Unknown, "worker %s: status %d", path, resp.StatusCode)
	default:
		return apricotwinch.Errorf(failure.Kind, "worker %s: %s", path, failure.Text)
	}
}

// transportErrorKind returns Unreachable if err occurred while dialing, before anything was sent,
// and Unknown for any other error.
func transportErrorKind(err error) apricotwinch.Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return apricotwinch.Unreachable
	}
	return apricotwinch.Unknown
}
