package forward

import (
	"net"
	"time"

	"monsoonfork/core/catalog"
	"monsoonfork/core/engines"
	"monsoonfork/core/ident"
)

const (
	// maxUrgentShortage is the part of the rounds of reservations in vain up to which the most
	// urgent requests get a backup. A request waits for several rounds before it is refused, so
	// that the memory of backups causes no refusals.
	maxUrgentShortage = 0.1
	// maxShortage is the same for all other requests: no round was in vain lately.
	maxShortage = 0.02
	// minBackupRun is the shortest expected run with a backup. Engines copy memory a few times a
	// second, so that a shorter run may end before its first copy is of use.
	minBackupRun = 500 * time.Millisecond
	// maxTransferShare is the largest part of the expected run that the transfer of its memory may
	// take.
	maxTransferShare = 0.25
	// remoteTransferFactor is how many times longer a transfer between failure domains takes.
	remoteTransferFactor = 2.0
	// otherDomainValue is the part of the expected run that the additional transfer time of an
	// engine in another failure domain may take for it to be preferred. Most failures are those of
	// a single engine or host, for which an engine in the same domain does as well.
	otherDomainValue = 0.1
	// sameHostPenalty is added to the rank of an engine on the host of the first engine. It is
	// more than any other difference of ranks.
	sameHostPenalty = 10.0
	// maxBackupMemory is the part of an engine's memory that this instance may have reserved there
	// for the engine to have room to spare, with the backup.
	maxBackupMemory = 0.5
)

// backupNeed is what decides whether a run gets a backup, and at which engine.
type backupNeed struct {
	first      *engines.Engine // The engine of the run.
	model      *catalog.ModelPool
	size       ident.Tokens  // Memory of the run at its end.
	expected   time.Duration // Expected time until the end of the run.
	mostUrgent bool          // No route of the service is more urgent.
	shortage   float64       // Part of the rounds of reservations that are in vain.
}

// isJustified reports whether a backup is worth its memory and its transfer.
func (n backupNeed) isJustified() bool {
	limit := maxShortage
	if n.mostUrgent {
		limit = maxUrgentShortage
	}
	return n.size > 0 && n.shortage <= limit && n.expected >= minBackupRun
}

// transferShare returns the part of the expected run that the transfer of its memory to an engine
// takes; 0 if that is not known.
func (n backupNeed) transferShare(to *engines.Engine) float64 {
	share := transferTime(n.model, n.size).Seconds() / n.expected.Seconds()
	if to.Domain != n.first.Domain {
		share *= remoteTransferFactor
	}
	return share
}

// transferTime returns how long the transfer of the memory of a run within a failure domain takes;
// 0 if that is not known.
func transferTime(m *catalog.ModelPool, size ident.Tokens) time.Duration {
	if m.LinkMbps <= 0 {
		return 0
	}
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	seconds := float64(size) * m.TokenBytes * bitsPerByte / (m.LinkMbps * bitsPerMegabit)
	return time.Duration(seconds * float64(time.Second))
}

// rank returns the rank of an engine as backup engine, the lowest being the best, and whether it
// can be one. An engine in another failure domain is preferred if the additional transfer costs
// little.
func (n backupNeed) rank(e *engines.Engine, now time.Time) (rank float64, ok bool) {
	if e == n.first || e.CurrentStage() == engines.Prefill || e.IsChangingStage(now) || e.IsSilent(now) || !e.HasCapacity(n.size, now) {
		return 0, false
	}
	memory := float64(e.Load().Memory+n.size) / float64(max(1, n.model.KVCacheTokens))
	transfer := n.transferShare(e)
	if memory > maxBackupMemory || transfer > maxTransferShare {
		return 0, false
	}
	rank = memory + transfer
	if e.Domain != n.first.Domain && transferTime(n.model, n.size) > 0 {
		rank -= otherDomainValue
	}
	if host(e.Address) == host(n.first.Address) {
		rank += sameHostPenalty
	}
	return rank, true
}

// host returns the host of an address, or the whole address if it has no port.
func host(a ident.Address) string {
	name, _, err := net.SplitHostPort(string(a))
	if err != nil {
		return string(a)
	}
	return name
}
