package experiment

// Row has what a measure shows of an arm.
type Row struct {
	Arm                Arm
	Measure            string
	Mean               Estimate
	Difference         Estimate // from the first arm, paired by seed
	Verdict            string   // empty for the first arm
	SeedsNeeded        int      // for a verdict; 0: there is one, or there is no difference
	RunsWithViolations int      // runs in which a rule was violated
}

// Rows computes the statistics of runs: arm by arm, each measure of it.
func (p *Plan) Rows(runs []Run) (rows []Row) {
	bySeed := map[string]map[uint64]Run{} // by runKey with seed 0
	for _, run := range runs {
		arm := runKey(run.Arm, 0)
		if bySeed[arm] == nil {
			bySeed[arm] = map[uint64]Run{}
		}
		bySeed[arm][run.Seed] = run
	}
	arms := p.Arms()
	first := bySeed[runKey(arms[0], 0)]
	for i, arm := range arms {
		for _, name := range p.Measures {
			own := bySeed[runKey(arm, 0)]
			if i == 0 {
				rows = append(rows, p.row(arm, name, own, nil))
				continue
			}
			row := p.row(arm, name, own, first)
			row.Verdict, row.SeedsNeeded = Verdict(row.Difference, measures[name].sign)
			rows = append(rows, row)
		}
	}
	return rows
}

// row computes a row from the runs of an arm, and those that it is compared with, by seed.
func (p *Plan) row(arm Arm, name string, own, base map[uint64]Run) Row {
	row := Row{Arm: arm, Measure: name}
	var figures, differences []float64
	for i := range p.Seeds {
		run, finished := own[p.FirstSeed+uint64(i)]
		if !finished {
			continue
		}
		figures = append(figures, run.Figures[name])
		if len(run.ViolatedRules) > 0 {
			row.RunsWithViolations++
		}
		if pair, finished := base[run.Seed]; finished {
			differences = append(differences, run.Figures[name]-pair.Figures[name])
		}
	}
	row.Mean, row.Difference = Bootstrap(figures), Bootstrap(differences)
	return row
}
