package server

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dandeliongrade/dandeliongrade/internal/config/loader"
	"github.com/dandeliongrade/dandeliongrade/internal/core/identifier"
	"github.com/dandeliongrade/dandeliongrade/internal/core/refuser"
	"github.com/dandeliongrade/dandeliongrade/internal/front/listener"
	"github.com/dandeliongrade/dandeliongrade/internal/job/describer"
)

// fakeJobs returns the answer that the key of a submission asks for: running, failing,
// refused:KIND, or a complete one for any other key.
type fakeJobs struct {
	submitted int
}

func (f *fakeJobs) Submit(_ context.Context, job describer.Job) describer.Answer {
	f.submitted++
	results := make([]describer.Result, len(job.Inputs))
	for i, input := range job.Inputs {
		results[i] = describer.Result{Outcome: describer.Succeeded, Body: input}
	}
	a, _ := f.answer(job.Submission.Key, results)
	return a
}

func (f *fakeJobs) Inquire(_ context.Context, s identifier.Submission, _ time.Time, _ bool) (describer.Answer, bool) {
	return f.answer(s.Key, []describer.Result{{Outcome: describer.Succeeded, Body: []byte("plain text")}})
}

func (f *fakeJobs) answer(key string, results []describer.Result) (describer.Answer, bool) {
	name, kind, _ := strings.Cut(key, ":")
	switch name {
	case "running":
		return describer.Answer{}, true
	case "failing":
		results[0] = describer.Result{Outcome: describer.MayHaveRun, Detail: "an agent was lost"}
		return describer.Assemble(results), false
	case "refused":
		return describer.Answer{Refusal: &refuser.Refusal{Kind: refuser.Kind(kind), Detail: "why", Remedy: "what to do", RetryAfter: 1500 * time.Millisecond}}, false
	}
	return describer.Assemble(results), false
}

// startServer runs a server with fakeJobs on a free port until the test ends.
func startServer(t *testing.T) (netip.AddrPort, *fakeJobs) {
	ln, err := listener.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	assert.NilError(t, err)
	jobs := &fakeJobs{}
	s := &Server{
		Jobs:       jobs,
		Clock:      time.Now,
		Templates:  map[string]*loader.Template{"stock": {Path: "/stock", Urgent: true, Deadline: time.Minute}, "report": {Path: "/report", Deadline: time.Minute}},
		Workspaces: map[string]*loader.Workspace{"nails": {MaxTasks: 130}, "roofing": {MaxTasks: 2}},
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		assert.NilError(t, <-ended)
	})
	return listener.Addr(ln), jobs
}

// uuidv7 matches a quoted UUIDv7. Those in responses are replaced, since new ones differ in
// each run.
var uuidv7 = regexp.MustCompile(`"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}"`)

// TestRequests sends the requests of each golden file, and compares the status, the headers
// Content-Type and Retry-After, the body, and the number of submitted jobs. In a request,
// MANY stands for 131 tasks, and LARGE for more bytes than a body may have.
func TestRequests(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			addr, jobs := startServer(t)
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			out := &txtar.Archive{Comment: archive.Comment}
			for _, section := range archive.Files {
				if section.Name != "request" {
					continue
				}
				before := jobs.submitted
				answer := exchange(t, addr, string(section.Data))
				answer += fmt.Sprintf("(%d submitted)\n", jobs.submitted-before)
				out.Files = append(out.Files, section, txtar.File{Name: "response", Data: []byte(answer)})
			}
			golden.Assert(t, string(txtar.Format(out)), filepath.Base(file))
		})
	}
}

// exchange sends a request and returns the response. The first line of text is the method and
// path; headers, an empty line and the body follow.
func exchange(t *testing.T, addr netip.AddrPort, text string) string {
	head, body, _ := strings.Cut(text, "\n\n")
	body = strings.TrimSpace(body)
	body = strings.ReplaceAll(body, "MANY", strings.TrimSuffix(strings.Repeat("{},", 131), ","))
	body = strings.ReplaceAll(body, "LARGE", strings.Repeat("x", listener.MaxBodyBytes+1))
	line, headers, _ := strings.Cut(strings.TrimRight(head, "\n"), "\n")
	conn, err := net.Dial("tcp", addr.String())
	assert.NilError(t, err)
	defer conn.Close()
	request := line + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if headers != "" {
		request += strings.ReplaceAll(headers, "\n", "\r\n") + "\r\n"
	}
	// The server may answer and close before it has read all of a large body.
	_, _ = io.WriteString(conn, request+"\r\n"+body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	answer := resp.Status + "\n"
	for _, name := range []string{"Content-Type", "Retry-After"} {
		if value := resp.Header.Get(name); value != "" {
			answer += name + ": " + value + "\n"
		}
	}
	return answer + "\n" + uuidv7.ReplaceAllString(string(got), `"UUIDV7"`) + "\n"
}

// TestOpenAPIDocument guards against an OpenAPI document that differs from the server. Each
// described operation must occur in the golden files, and the status codes that it returns
// there must be exactly those described.
func TestOpenAPIDocument(t *testing.T) {
	addr, _ := startServer(t)
	var document struct {
		Paths map[string]map[string]json.RawMessage `json:"paths"`
	}
	assert.NilError(t, json.Unmarshal(OpenAPIDocument, &document))
	served := exchange(t, addr, "GET /v1/openapi.json\n")
	assert.Assert(t, strings.Contains(served, `"openapi": "3.1.0"`))
	seen := map[string][]string{"get /v1/openapi.json": {strings.Fields(served)[0]}}
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		assert.NilError(t, err)
		for i, section := range archive.Files {
			if section.Name == "request" {
				method, path, _ := strings.Cut(strings.SplitN(string(section.Data), "\n", 2)[0], " ")
				operation := strings.ToLower(method) + " " + pathTemplate(path)
				seen[operation] = append(seen[operation], strings.Fields(string(archive.Files[i+1].Data))[0])
			}
		}
	}
	for path, operations := range document.Paths {
		for method, raw := range operations {
			if method == "parameters" {
				continue
			}
			var operation struct {
				Responses map[string]json.RawMessage `json:"responses"`
			}
			assert.NilError(t, json.Unmarshal(raw, &operation))
			statuses := seen[method+" "+path]
			assert.Assert(t, len(statuses) > 0, "no golden file sends %s %s", method, path)
			for _, status := range statuses {
				_, described := operation.Responses[status]
				assert.Assert(t, described, "%s %s returns %s, which is not described", method, path, status)
			}
			for status := range operation.Responses {
				assert.Assert(t, slices.Contains(statuses, status), "%s %s is described to return %s, but does so in no golden file", method, path, status)
			}
		}
	}
}

// pathTemplate returns the path of the OpenAPI document that matches the path of a request.
func pathTemplate(path string) string {
	path, _, _ = strings.Cut(path, "?")
	if rest, ok := strings.CutPrefix(path, "/v1/jobs/"); ok && rest != "" {
		return "/v1/jobs/{key}"
	}
	return path
}
