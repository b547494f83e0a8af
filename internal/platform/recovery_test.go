package platform

import "testing"

// A failure of the decision module restarts it, and a panic over an input closes the connection of the input.
func TestRecoveryFromPanics(t *testing.T) {
	cluster := newTestCluster(t, 6, 8, 8)
	cluster.run(5)
	node := cluster.nodes[0]
	node.planner = nil // its next step panics
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsable()
	if node.stats.PlannerRestarts != 1 {
		t.Errorf("%d failures were counted", node.stats.PlannerRestarts)
	}
	for _, s := range node.streams {
		if s != nil {
			s.session.stream = nil // its next input panics
			break
		}
	}
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsable()
	if node.stats.InputPanics != 1 {
		t.Errorf("%d panics over inputs were counted", node.stats.InputPanics)
	}
}

// A failure outside of a connection's input, here in the execution of the module's commands, restarts the module only.
func TestRecoveryFromFailedStep(t *testing.T) {
	cluster := newTestCluster(t, 8, 8, 8)
	cluster.run(5)
	cluster.nodes[0].distributor = nil
	cluster.run(10)
	cluster.checkTables()
	cluster.checkUsable()
	if n := cluster.nodes[0].stats.PlannerRestarts; n != 1 {
		t.Errorf("%d failures were counted", n)
	}
}
