package emulator

import "testing"

// modelsIn makes two backends of different zones and cells that share a key store and an execution log.
func modelsIn(store *IdempotencyKeyStore, log *ExecutionLog) [2]*Model {
	var models [2]*Model
	for i, zone := range []string{"a", "b"} {
		config := testConfig(4, Work{Mean: 0.01, Family: Constant})
		config.Backend, config.Zone, config.Cell = uint32(i+1), zone, i+1
		config.IdempotencyKeys, config.Executions = store, log
		models[i] = connectedModel(config)
	}
	return models
}

// An idempotency key is good for one execution in its scope and window, and the log finds the executions beyond that.
func TestKeyStoreAndExecutionLog(t *testing.T) {
	call := RPC{ID: 1, IdempotencyKey: 9, TimeLeft: 1}
	for scope, repeats := range map[IdempotencyScope]bool{AllBackends: false, PerZone: true, PerCell: true, PerBackend: true} {
		log := &ExecutionLog{}
		models := modelsIn(&IdempotencyKeyStore{Scope: scope, Window: 5}, log)
		for _, model := range models {
			model.Submit(1, call)
			if statuses, _ := advanceUntil(model, 1); statuses[1] != StatusOK {
				t.Errorf("scope %d: the reply is %v", scope, statuses)
			}
		}
		if (log.RepeatCount == 1) != repeats || repeats && (log.Repeated[0].First.Backend != 1 || log.Repeated[0].Again.Backend != 2) {
			t.Errorf("scope %d: %d repeated executions: %+v", scope, log.RepeatCount, log.Repeated)
		}
		models[0].Submit(1, call)
		advanceUntil(models[0], 2)
		before := log.RepeatCount
		models[0].Advance(8)
		models[0].Submit(1, call) // past the window
		if advanceUntil(models[0], 9); log.RepeatCount != before+1 {
			t.Errorf("scope %d: a repeat past the window was not executed", scope)
		}
	}
}
