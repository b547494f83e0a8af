package platform

import "testing"

// A panic of the decision module restarts the module. A panic while an input is handled closes the input's connection. In
// both cases the proxies get their tables again.
func TestRecoveryFromPanics(t *testing.T) {
	cluster := newTestCluster(t, 6, 8, 8)
	cluster.run(5)
	node := cluster.nodes[0]
	node.planner = nil // its next step panics
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsableBackends()
	if node.stats.PlannerRestarts != 1 {
		t.Errorf("%d restarts of the decision module were counted, want 1", node.stats.PlannerRestarts)
	}
	for _, s := range node.streams {
		if s != nil {
			s.session.stream = nil // its next input panics
			break
		}
	}
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsableBackends()
	if node.stats.InputPanics != 1 {
		t.Errorf("%d inputs were counted whose handling panicked, want 1", node.stats.InputPanics)
	}
}

// A panic that no connection's input has caused, here while the decision module's commands are executed, restarts only the
// module.
func TestRecoveryFromFailedStep(t *testing.T) {
	cluster := newTestCluster(t, 8, 8, 8)
	cluster.run(5)
	cluster.nodes[0].distributor = nil // its next use panics
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsableBackends()
	if n := cluster.nodes[0].stats.PlannerRestarts; n != 1 {
		t.Errorf("%d restarts of the decision module were counted, want 1", n)
	}
}
