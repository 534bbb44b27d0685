package jobs

import (
	"fmt"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// maxListed bounds a reply; the next page starts after its last job.
const maxListed = 1000

func selectJobs(found []store.Row, r operator.JobsRequest) (operator.JobsReply, error) {
	var out operator.JobsReply
	for _, row := range found {
		j, err := rows.DecodeJob(row.Value, row.Version)
		if err != nil {
			return out, fmt.Errorf("row %s: %w", row.Key, err)
		}
		if (r.Team != "" && j.Spec.Team != r.Team) || j.Spec.ID <= r.After {
			continue
		}
		if len(out.Jobs) == maxListed {
			out.More = true
			return out, nil
		}
		out.Jobs = append(out.Jobs, j)
	}
	return out, nil
}
