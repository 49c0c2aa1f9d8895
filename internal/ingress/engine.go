package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/samber/lo"

	"github.com/primrosewell/primrosewell/internal/catalog"
	"github.com/primrosewell/primrosewell/internal/dispatch"
	"github.com/primrosewell/primrosewell/internal/failure"
	"github.com/primrosewell/primrosewell/internal/memory"
)

const (
	maxIdempotencyKeyLength = 255
	startupRetryAfter       = time.Second
	// noRoomRetryAfter is when a caller may send a request again for which there was no room: other
	// daemons mostly have room.
	noRoomRetryAfter = 200 * time.Millisecond
)

// engineBody holds the fields of an engine call that this server reads.
type engineBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

func parseEngineBody(body []byte, api dispatch.API) (engineBody, error) {
	var b engineBody
	if err := json.Unmarshal(body, &b); err != nil {
		return b, failure.New(failure.InvalidRequest, "body: "+catalog.DescribeJSON(err))
	}
	var problems catalog.Problems
	problems.Check(b.Model != "", "model", "none", "a model from /v1/models")
	problems.Check(b.N == nil || *b.N == 1, "n", lo.FromPtr(b.N), "1")
	for path, limit := range map[string]*int{"max_tokens": b.MaxTokens, "max_completion_tokens": b.MaxCompletionTokens} {
		problems.Check(limit == nil || *limit > 0, path, lo.FromPtr(limit), "above 0")
	}
	if api == dispatch.ChatCompletions {
		problems.Check(startsWith(b.Messages, '['), "messages", "no list", "a list of messages")
	} else {
		problems.Check(startsWith(b.Prompt, '"'), "prompt", "no string", "one string")
	}
	if len(problems) > 0 {
		lines := lo.Map(problems, func(p catalog.Problem, _ int) string { return p.String() })
		return b, failure.New(failure.InvalidRequest, "body: "+strings.Join(lines, "; "))
	}
	return b, nil
}

func startsWith(raw json.RawMessage, first byte) bool {
	trimmed := bytes.TrimSpace(raw)
	return len(trimmed) > 0 && trimmed[0] == first
}

func (s *Server) handleEngine(api dispatch.API) fiber.Handler {
	return func(c fiber.Ctx) error {
		request, err := s.engineRequest(c, api)
		if err != nil {
			return err
		}
		if request.Stream {
			return s.serveStream(c, request)
		}
		return s.serveBuffered(c, request)
	}
}

func (s *Server) engineRequest(c fiber.Ctx, api dispatch.API) (dispatch.Request, error) {
	request, snapshot, err := s.authenticatedRequest(c)
	if err != nil {
		return request, err
	}
	body, err := parseEngineBody(request.Body, api)
	if err != nil {
		return request, err
	}
	service, ok := snapshot.ServiceByModel(body.Model)
	if !ok {
		return request, failure.New(failure.UnknownModel, "no service offers model "+body.Model+"; allowed: "+strings.Join(snapshot.Models(), ", "))
	}
	request.API = api
	request.Service = service
	request.Model = body.Model
	request.Stream = body.Stream
	request.MaxOutputTokens = lo.FromPtr(lo.CoalesceOrEmpty(body.MaxCompletionTokens, body.MaxTokens))
	return request, nil
}

// authenticatedRequest authenticates the caller and returns a request with the fields that
// all kinds of call have, copied from the server's buffers.
func (s *Server) authenticatedRequest(c fiber.Ctx) (dispatch.Request, *catalog.Snapshot, error) {
	request := dispatch.Request{ID: requestID(c), Arrived: time.Now()}
	snapshot, workspace, err := s.authenticate(c)
	if err != nil {
		return request, nil, err
	}
	profile, err := chooseProfile(c, snapshot, workspace)
	if err != nil {
		return request, nil, err
	}
	key, err := idempotencyKey(c)
	if err != nil {
		return request, nil, err
	}
	request.Workspace = workspace
	request.Profile = profile
	request.IdempotencyKey = key
	request.Body, err = s.readBody(c)
	return request, snapshot, err
}

// readBody reads the request's body, which is not reused by the server.
func (s *Server) readBody(c fiber.Ctx) ([]byte, error) {
	body, err := memory.ReadRequest(c.RequestCtx(), s.options.Settings.MaxBodyBytes)
	var netErr net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, memory.ErrTooLarge):
		return nil, fiber.ErrRequestEntityTooLarge
	case errors.Is(err, memory.ErrNoRoom):
		return nil, noRoom()
	case errors.Is(err, memory.ErrCoding):
		return nil, failure.New(failure.InvalidRequest, "body: can't be decoded; allowed in Content-Encoding: gzip, br, deflate, zstd")
	case errors.As(err, &netErr) && netErr.Timeout():
		return nil, fiber.ErrRequestTimeout
	}
	return nil, fiber.ErrBadRequest
}

// noRoom returns the failure of a request for which the account of memory has no room.
func noRoom() *failure.Failure {
	return failure.New(failure.Overloaded, "this daemon holds too much for other callers").WithRetryAfter(noRoomRetryAfter)
}

// model is an entry of GET /v1/models, in the format of the OpenAI API.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (s *Server) handleModels(c fiber.Ctx) error {
	snapshot, _, err := s.authenticate(c)
	if err != nil {
		return err
	}
	return c.JSON(modelList{Object: "list", Data: models(snapshot)})
}

func (s *Server) handleModel(c fiber.Ctx) error {
	snapshot, _, err := s.authenticate(c)
	if err != nil {
		return err
	}
	found, ok := lo.Find(models(snapshot), func(m model) bool { return m.ID == c.Params("*") })
	if !ok {
		return failure.New(failure.UnknownModel, "no service offers this model")
	}
	return c.JSON(found)
}

func models(snapshot *catalog.Snapshot) []model {
	return lo.Map(snapshot.Models(), func(name string, _ int) model {
		service, _ := snapshot.ServiceByModel(name)
		return model{ID: name, Object: "model", OwnedBy: service.Name}
	})
}
