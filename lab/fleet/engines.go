package fleet

import (
	"context"
	"fmt"
	"path/filepath"
	"strconv"

	"monsoonfork/core/ident"
	"monsoonfork/io/standin/engine"
	"monsoonfork/io/standin/list"
	"monsoonfork/io/standin/service"
	"monsoonfork/io/standin/store"
)

// startPlatform starts the store and the instance list.
func (f *Fleet) startPlatform(ctx context.Context) error {
	var err error
	if f.Spec.Embedded {
		f.Store, err = startEmbedded("store", "", store.New(store.WithLimits(f.Spec.StoreReads, f.Spec.StoreWrites)))
		if err == nil {
			f.List, err = startEmbedded("list", "", list.New(list.WithLag(f.Spec.ListLag)))
		}
		return err
	}
	f.Store, err = f.startProcess(ctx, "store", "", []string{
		"store",
		"--read-limit", number(f.Spec.StoreReads),
		"--write-limit", number(f.Spec.StoreWrites),
	})
	if err == nil {
		f.List, err = f.startProcess(ctx, "list", "", []string{"list", "--lag", f.Spec.ListLag.String()})
	}
	return err
}

// startEngines starts the engines, spread over the failure domains.
func (f *Fleet) startEngines(ctx context.Context) error {
	w := f.Spec.Workload
	for i := range w.Prefill + w.Decode {
		role, number := engine.PrefillRole, i
		if i >= w.Prefill {
			role, number = engine.DecodeRole, i-w.Prefill
		}
		name := fmt.Sprintf("%s-%s-%d", w.Model, role, number+1)
		s, err := f.startEngine(ctx, name, f.Spec.domain(number), role, f.checksFencing(i))
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, Engine{StandIn: s, Role: role, ChecksFencing: f.checksFencing(i)})
	}
	return nil
}

// checksFencing reports whether engine i checks fencing numbers.
func (f *Fleet) checksFencing(i int) bool { return f.Spec.ChecksFence && i%2 == 0 }

// startEngine starts one engine.
func (f *Fleet) startEngine(ctx context.Context, name string, domain ident.DomainID, role engine.Role, fences bool) (*StandIn, error) {
	if f.Spec.Embedded {
		return startEmbedded(name, domain, engine.New(
			engine.WithName(name),
			engine.WithRole(role),
			engine.WithModels(string(f.Spec.Workload.Model)),
			engine.WithSlots(engineSlots),
			engine.WithMemory(enginePieces, engineTokensPerPiece),
			engine.WithPrefill(prefillRate, prefillBase),
			engine.WithInterToken(interToken, batchSlowdown),
			engine.WithLink(engineLinkBytes, bytesPerKVToken),
			engine.WithOrderDuration(orderTime),
			engine.WithFencing(fences),
			engine.WithTimeScale(f.Spec.timeScale()),
			engine.WithSeed(f.Spec.Seed),
		))
	}
	args := []string{
		"engine",
		"--name", name,
		"--role", role.String(),
		"--models", string(f.Spec.Workload.Model),
		"--slots", strconv.Itoa(engineSlots),
		"--pieces", strconv.FormatInt(int64(enginePieces), 10),
		"--tokens-per-piece", strconv.FormatInt(int64(engineTokensPerPiece), 10),
		"--prefill-rate", number(float64(prefillRate)),
		"--prefill-base", prefillBase.String(),
		"--inter-token", interToken.String(),
		"--batch-slowdown", number(batchSlowdown),
		"--link-bytes", strconv.FormatInt(int64(engineLinkBytes), 10),
		"--bytes-per-token", strconv.FormatInt(int64(bytesPerKVToken), 10),
		"--order-time", orderTime.String(),
		"--time-scale", number(f.Spec.timeScale()),
		"--seed", strconv.FormatUint(f.Spec.Seed, 10),
	}
	if fences {
		args = append(args, "--checks-fencing")
	}
	return f.startProcess(ctx, name, domain, args)
}

// startServices starts the endpoints of the plain service.
func (f *Fleet) startServices(ctx context.Context) error {
	for i := range f.Spec.Workload.Services {
		name := fmt.Sprintf("planning-%d", i+1)
		s, err := f.startService(ctx, name, f.Spec.domain(i))
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

// startService starts one endpoint of the plain service.
func (f *Fleet) startService(ctx context.Context, name string, domain ident.DomainID) (*StandIn, error) {
	if f.Spec.Embedded {
		return startEmbedded(name, domain, service.New(service.WithName(name), service.WithProcessingTime(serviceRunTime)))
	}
	runLog := filepath.Join(f.Runner.Dir(), name+".runs")
	args := []string{"service", "--name", name, "--run-time", serviceRunTime.String(), "--run-log", runLog}
	return f.startProcess(ctx, name, domain, args)
}

// number writes a number without an exponent.
func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
