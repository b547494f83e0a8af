package choice

import "math"

const (
	slowStartSteps = 4   // pushes that the warm-up of a backend costs each proxy
	coldLoadShare  = 0.6 // of the load under which a cold backend fails, what may reach it in an overload
	maxStruckShare = 0.1 // share of attempts at backends that proxies avoid, above which they move to cold ones
)

// currentWarmupFactor is the share of its full weight that a backend may have. It follows the slowest warm-up
// that the settings allow, in few steps, each at the capacity that is surely there when the step begins.
func (b *backendActor) currentWarmupFactor() float64 {
	span, cold := b.plan.settings.WarmAfter, b.plan.settings.ColdShare
	since := max(b.plan.startedAt[b.index], b.plan.returnedAt[b.index])
	age := b.plan.now - since
	if since == 0 || age >= span || span <= 0 {
		return 1
	}
	return cold + (1-cold)*math.Floor(max(age, 0)/span*slowStartSteps)/slowStartSteps
}

// requiredWarmupFactor is the warmth that a cold backend needs to be in the arcs. In an overload proxies that avoid
// failing backends, or pick the less busy, move from all that reject to a cold one, whatever its weight: it
// stays out until it can take that. entryRate is the requests a second of a table entry: where it is too low
// for failures in a row before reports arrive, and few backends fail, nothing moves before an overload.
func (plan *Planner) requiredWarmupFactor(entryRate float64) float64 {
	admission, strikes := plan.admission, plan.settings.Strikes
	arrivals, collapse := sum(admission.arrivalRates), plan.settings.FallMultiple
	arrivalRate := arrivals / plan.ring.totalEntries
	few := max(entryRate, arrivalRate)*admissionWindow < strikes && admission.avoidedShare < maxStruckShare
	// Who picks the less busy of two moves only as far as there is a busy one to move from.
	busy := min(1, arrivalRate*admission.relativeLatency*admission.shortestSoftDeadline)
	moved := arrivals * (1 + busy) / max(1e-9, plan.openCapacity())
	bearable := !admission.overloaded || moved < coldLoadShare*collapse*admission.peakSuccessRatePerWeight
	if admission.overloadUnlikely || strikes <= 0 || few && bearable {
		return 0
	}
	if admission.firstReportAt == 0 || plan.now <= admission.firstReportAt+admissionWindow {
		return 1 // after our own start an overload is not known yet
	}
	part := 1 / plan.sumOpen(plan.fullWeight)
	if plan.settings.Pick == "pair" {
		part *= 2 // a backend with nothing in flight is picked whenever it is drawn
	}
	coldWeight := plan.sumOpen(func(i int) float64 { return plan.weight[i] * math.Ceil(1-plan.warmupFactor[i]) })
	part = min(part, 1/max(1e-9, coldWeight))
	return arrivals * part / (coldLoadShare * collapse * max(admission.peakSuccessRatePerWeight, 1e-9))
}

// overloadsColdBackend tells whether arcs bring a cold backend more load than it can take, where no warm one
// is listed. The best rate of answers is less than a backend can do, so the bound is wider: a fleet that is
// all cold at its usual load stays within it. It harms where the best rate was seen at very little traffic.
func (plan *Planner) overloadsColdBackend(i int) bool {
	rate := plan.settings.FallMultiple * plan.warmupFactor[i] * plan.weight[i] * plan.admission.peakSuccessRatePerWeight
	bound := rate / coldLoadShare * plan.ownShare()
	if plan.excluded[i] {
		bound /= 2 // hysteresis
	}
	// The listed start counts: a backend that was only unreachable for a while has to stay in the tables.
	young := func(k int) bool {
		return plan.startedAt[k] > 0 && plan.now < plan.startedAt[k]+plan.settings.WarmAfter
	}
	if !young(i) || plan.admission.peakSuccessRatePerWeight <= 0 || !(plan.expectedLoad[i] > bound) {
		return false
	}
	warm := plan.sumOpen(func(k int) float64 {
		if young(k) {
			return 0
		}
		return 1
	})
	return warm == 0
}

// excludeOverloadedCold excludes such backends: that proxies reject requests is better than a backend that
// fails for good; rule 1 asks for an entry only where a warm backend is listed.
func (plan *Planner) excludeOverloadedCold() (changed bool) {
	for i := range plan.id {
		if plan.state[i] == BackendOpen && !plan.excluded[i] && plan.overloadsColdBackend(i) {
			plan.setExcluded(i, true)
			changed = true
		}
	}
	return changed
}
