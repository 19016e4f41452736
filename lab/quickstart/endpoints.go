package quickstart

import (
	"context"
	"fmt"

	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/service"
	"monsoonfork/lab/fleet"
	"monsoonfork/lab/workload"
)

// endpointsThatRan returns the endpoints that ran a request, from the stand-ins'
// records.
func endpointsThatRan(ctx context.Context, f *fleet.Fleet, r workload.Request) ([]string, error) {
	if r.Kind == workload.Completion {
		return enginesThatRan(ctx, f, r)
	}
	return serviceEndpointsThatRan(ctx, f, r)
}

// enginesThatRan returns the engines that ran a completion.
func enginesThatRan(ctx context.Context, f *fleet.Fleet, r workload.Request) ([]string, error) {
	hash := engine.WordsPrompt(r.Prompt).Hash()
	var places []string
	for _, e := range f.Engines {
		var record engine.Record
		if err := e.Control.Record(ctx, &record); err != nil {
			return nil, err
		}
		for _, request := range record.Requests {
			if request.PromptHash == hash {
				places = append(places, fmt.Sprintf("%s (%s)", e.Name, e.Domain))
			}
		}
	}
	return places, nil
}

// serviceEndpointsThatRan returns the endpoints of the plain service that ran a call.
func serviceEndpointsThatRan(ctx context.Context, f *fleet.Fleet, r workload.Request) ([]string, error) {
	var places []string
	for _, s := range f.Services {
		var record service.Record
		if err := s.Control.Record(ctx, &record); err != nil {
			return nil, err
		}
		for _, run := range record.Runs {
			if run.Reference == r.Reference || (r.Kind == workload.Status && run.Path == "/status") {
				places = append(places, fmt.Sprintf("%s (%s)", s.Name, s.Domain))
			}
		}
	}
	return places, nil
}
