package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// callTimeout is how long a client waits for an answer.
const callTimeout = 3 * time.Second

// step is a step of a job as clients send it.
type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemoryMB    int   `json:"mem_mb"`
	EstimateMS  int   `json:"estimate_ms"`
	After       []int `json:"after,omitempty"`
	Checkpoints bool  `json:"checkpoints,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	Perpetual   bool  `json:"perpetual,omitempty"`
}

// job is the body of a submission.
type job struct {
	TaskSpec string `json:"task_spec"`
	Steps    []step `json:"steps"`
}

// call sends one request of a client and returns the status, or 0 without an answer, and the body.
func (f *fleet) call(ctx context.Context, front int, method, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.fronts[front%len(f.fronts)]+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = hostname
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Request-Deadline", "3000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// submit submits a job, again at other entries after a refusal or no answer, and reports whether it was accepted.
func (f *fleet) submit(ctx context.Context, id string, j job) bool {
	for try := range 10 {
		status, answer := f.call(ctx, try, http.MethodPost, id, j)
		f.printf("POST %s: %d %s", id, status, answer)
		if status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}
