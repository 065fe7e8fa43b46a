package runner

import (
	"net/http"

	"apricotwinch/messenger"
	"apricotwinch/standin/disrupter"
)

func (r *Runner) routes() http.Handler {
	worker := http.NewServeMux()
	worker.HandleFunc("POST /v1/start", serve(func(command messenger.WorkerStart) (struct{}, error) {
		return struct{}{}, r.Start(command)
	}))
	worker.HandleFunc("POST /v1/renew", serve(func(command messenger.WorkerRenew) (struct{}, error) {
		r.Renew(command)
		return struct{}{}, nil
	}))
	worker.HandleFunc("POST /v1/throttle", serve(func(command messenger.WorkerThrottle) (struct{}, error) {
		return struct{}{}, r.Throttle(command)
	}))
	worker.HandleFunc("POST /v1/stop", serve(r.Stop))
	worker.HandleFunc("POST /v1/forget", serve(func(command messenger.WorkerForget) (struct{}, error) {
		r.Forget(command)
		return struct{}{}, nil
	}))
	worker.HandleFunc("GET /v1/tasks", func(w http.ResponseWriter, _ *http.Request) {
		disrupter.WriteJSON(w, r.Tasks())
	})
	mux := http.NewServeMux()
	mux.Handle("/v1/", r.disrupter.Wrap(worker))
	mux.HandleFunc("POST /faults", serve(func(faults Faults) (struct{}, error) {
		r.SetFaults(faults)
		return struct{}{}, nil
	}))
	return mux
}

// ServeHTTP serves the worker under /v1/ and sets its faults at POST /faults.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.handler.ServeHTTP(w, request)
}

// serve returns a handler that decodes a command, calls act and writes its reply or error.
func serve[Command, Reply any](act func(Command) (Reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var command Command
		if err := disrupter.ReadJSON(request, &command); err != nil {
			disrupter.WriteError(w, err)
			return
		}
		reply, err := act(command)
		if err != nil {
			disrupter.WriteError(w, err)
			return
		}
		disrupter.WriteJSON(w, reply)
	}
}
