package jobs

import (
	"fmt"

	"github.com/carobwharf/carobwharf/peer/operator"
	"github.com/carobwharf/carobwharf/rows"
	"github.com/carobwharf/carobwharf/store"
)

// maxJobsPerReply is the maximum number of jobs in one reply. The next page
// starts after its last job.
const maxJobsPerReply = 1000

// selectJobs returns the jobs of the rows that match the request, one page of
// them at most.
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
		if len(out.Jobs) == maxJobsPerReply {
			out.More = true
			return out, nil
		}
		out.Jobs = append(out.Jobs, j)
	}
	return out, nil
}
