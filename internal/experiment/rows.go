package experiment

// Row has the statistics of one measure for one arm.
type Row struct {
	Arm                Arm
	Measure            string
	Mean               Estimate
	Difference         Estimate // mean difference from the plan's first arm, paired by seed
	Verdict            string   // empty for the first arm
	SeedsNeeded        int      // estimate of the seeds needed for a clear verdict; 0 if the verdict is clear or the mean difference is 0
	RunsWithViolations int      // runs in which a rule was violated
}

// Rows computes the statistics of runs, a row for each arm and measure, in the order of the plan.
func (p *Plan) Rows(runs []Run) (rows []Row) {
	runsByArm := map[string]map[uint64]Run{} // by runKey with seed 0, then by seed
	for _, run := range runs {
		arm := runKey(run.Arm, 0)
		if runsByArm[arm] == nil {
			runsByArm[arm] = map[uint64]Run{}
		}
		runsByArm[arm][run.Seed] = run
	}
	arms := p.Arms()
	firstArmRuns := runsByArm[runKey(arms[0], 0)]
	for i, arm := range arms {
		for _, name := range p.Measures {
			armRuns := runsByArm[runKey(arm, 0)]
			if i == 0 {
				rows = append(rows, p.computeRow(arm, name, armRuns, nil))
				continue
			}
			row := p.computeRow(arm, name, armRuns, firstArmRuns)
			row.Verdict, row.SeedsNeeded = Verdict(row.Difference, measures[name].sign)
			rows = append(rows, row)
		}
	}
	return rows
}

// computeRow computes a row from the runs of an arm and those of the first arm, each by seed. firstArmRuns is nil for the first
// arm.
func (p *Plan) computeRow(arm Arm, name string, armRuns, firstArmRuns map[uint64]Run) Row {
	row := Row{Arm: arm, Measure: name}
	var values, differences []float64
	for i := range p.Seeds {
		run, finished := armRuns[p.FirstSeed+uint64(i)]
		if !finished {
			continue
		}
		values = append(values, run.Figures[name])
		if len(run.ViolatedRules) > 0 {
			row.RunsWithViolations++
		}
		if firstArmRun, finished := firstArmRuns[run.Seed]; finished {
			differences = append(differences, run.Figures[name]-firstArmRun.Figures[name])
		}
	}
	row.Mean, row.Difference = EstimateMean(values), EstimateMean(differences)
	return row
}
