package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
)

// maxListedEnds is how many ends an executor lists at a time.
const maxListedEnds = 500

// limitEnds shortens the list of ends in the answers of an executor to maxListedEnds, as the pages say.
func limitEnds(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/apricotwinch/hold" {
			next.ServeHTTP(w, r)
			return
		}
		recorder := httptest.NewRecorder()
		next.ServeHTTP(recorder, r)
		body := recorder.Body.Bytes()
		var answer map[string]json.RawMessage
		var ended []json.RawMessage
		if bytes.Contains(body, []byte(`"ended"`)) && json.Unmarshal(body, &answer) == nil && json.Unmarshal(answer["ended"], &ended) == nil && len(ended) > maxListedEnds {
			if list, err := json.Marshal(ended[:maxListedEnds]); err == nil {
				answer["ended"] = list
				if shortened, err := json.Marshal(answer); err == nil {
					body = shortened
				}
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(body)
	})
}
