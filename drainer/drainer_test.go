package drainer_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"apricotwinch"
	"apricotwinch/drainer"
)

func Example() {
	d := drainer.New()
	done, _ := d.Enter()
	d.Start()
	_, err := d.Enter()
	fmt.Println(err)
	done()
	fmt.Println(d.Wait(context.Background()))
	// Output:
	// the process is shutting down
	// <nil>
}

func TestWaitForWorkInFlight(t *testing.T) {
	d := drainer.New()
	first, _ := d.Enter()
	second, _ := d.Enter()
	d.Start()
	first()
	first()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := d.Wait(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("Wait with %d in flight: %v", d.InFlight(), err)
	}
	if _, err := d.Enter(); apricotwinch.KindOf(err) != apricotwinch.Draining {
		t.Errorf("Enter while draining: %v", err)
	}
	second()
	if err := d.Wait(context.Background()); err != nil {
		t.Errorf("Wait when idle: %v", err)
	}
}
