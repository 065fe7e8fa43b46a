package appender

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/dghubble/sling"

	"apricotwinch"
	"apricotwinch/messenger"
)

// maxReplyBytes is the maximum length of the body of one reply of the log, in bytes.
const maxReplyBytes = 64 << 20

// readQuery holds the query parameters of a read.
type readQuery struct {
	From       int64 `url:"from"`
	WaitMillis int64 `url:"waitMillis"`
}

// replyDecoder decodes the body of a successful reply, at most maxReplyBytes of it.
type replyDecoder struct{}

// Decode decodes the JSON body of response into v.
func (replyDecoder) Decode(response *http.Response, v any) error {
	return json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(v)
}

// NewHTTP returns the platform's log, which client calls over HTTP at baseURL.
func NewHTTP(baseURL string, client *http.Client) Log {
	base := sling.New().
		Client(client).
		Base(strings.TrimSuffix(baseURL, "/") + "/").
		ResponseDecoder(replyDecoder{})
	return Log{
		Append: func(ctx context.Context, stream string, records [][]byte) (int64, error) {
			return appendOverHTTP(ctx, base, stream, records)
		},
		Read: func(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
			return readOverHTTP(ctx, base, stream, from, wait)
		},
	}
}

func appendOverHTTP(ctx context.Context, base *sling.Sling, stream string, records [][]byte) (int64, error) {
	call := base.New().
		Post("v1/streams/" + url.PathEscape(stream) + "/append").
		BodyJSON(messenger.LogAppend{Records: records})
	var reply messenger.LogAppendReply
	if err := receive(ctx, call, &reply); err != nil {
		return 0, apricotwinch.Errorf(apricotwinch.LogUnavailable, "append to stream %s: %w", stream, err)
	}
	return int64(reply.Offset), nil
}

func readOverHTTP(ctx context.Context, base *sling.Sling, stream string, from int64, wait time.Duration) (Batch, error) {
	call := base.New().
		Get("v1/streams/" + url.PathEscape(stream)).
		QueryStruct(readQuery{From: from, WaitMillis: wait.Milliseconds()})
	var reply messenger.LogReadReply
	if err := receive(ctx, call, &reply); err != nil {
		return Batch{}, apricotwinch.Errorf(apricotwinch.LogUnavailable, "read stream %s: %w", stream, err)
	}
	if err := checkRead(reply); err != nil {
		return Batch{}, apricotwinch.Errorf(apricotwinch.LogUnavailable, "read stream %s: %w", stream, err)
	}
	records := make([]Record, 0, len(reply.Records))
	for _, r := range reply.Records {
		records = append(records, NewRecord(int64(r.Offset), r.Data))
	}
	return NewBatch(records, int64(reply.Earliest), int64(reply.Next)), nil
}

// checkRead checks that the offsets of the records in reply increase and that the earliest and the
// next offset are consistent with them.
func checkRead(reply messenger.LogReadReply) error {
	last := -1
	for _, r := range reply.Records {
		if r.Offset <= last {
			return fmt.Errorf("records: offset %d after offset %d", r.Offset, last)
		}
		last = r.Offset
	}
	if reply.Earliest < 0 || reply.Next < reply.Earliest || reply.Next <= last {
		return fmt.Errorf("earliest offset %d, last offset %d and next offset %d are inconsistent", reply.Earliest, last, reply.Next)
	}
	return nil
}

// receive sends call and decodes the body of its response into reply. It fails if the status is not
// 200 OK.
func receive(ctx context.Context, call *sling.Sling, reply any) error {
	request, err := call.Request()
	if err != nil {
		return err
	}
	response, err := call.Do(request.WithContext(ctx), reply, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
