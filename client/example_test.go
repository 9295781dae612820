package client_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/lavendercleat/lavendercleat/client"
	"github.com/lavendercleat/lavendercleat/schema"
)

// fakeEntry reserves identifiers, and answers once that the owner of the identifier is unreachable.
func fakeEntry() http.Handler {
	asked := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			w.WriteHeader(http.StatusCreated)
			_, _ = io.WriteString(w, `{"ids":["id-1"]}`)
		case asked == 0:
			asked++
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, `{"id":"id-1","outcome":"pending","reason":"owner_unreachable"}`)
		default:
			_, _ = io.WriteString(w, `{"id":"id-1","outcome":"complete","results":[{"price":41000}]}`)
		}
	})
}

// Submit retries until the answer is final. The job runs once.
func ExampleClient_Submit() {
	entry := httptest.NewServer(fakeEntry())
	defer entry.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := client.Client{URL: entry.URL, Token: "token"}
	r, err := c.Submit(ctx, schema.Job{
		Kind:  "loft-quote",
		Tasks: []schema.Task{{Payload: json.RawMessage(`{"step":"render"}`)}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(r.Outcome, string(r.Results[0]))
	// Output: complete {"price":41000}
}
