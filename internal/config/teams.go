package config

import "woadweir/internal/core/model"

// Teams returns the teams by name. A limit that is 0 or missing means no limit: there are
// deployments whose teams have settings for GPUs alone, while all their tasks use
// processors as well. A resource of a team with neither guarantee nor limit does not count
// against the team's guarantee.
func (s *Settings) Teams() map[string]*model.Team {
	teams := map[string]*model.Team{}
	for _, team := range s.Params.Teams {
		cores, maxCores := guaranteeAndLimit(team.CPUs, team.CPUsMax)
		gpus, maxGPUs := guaranteeAndLimit(team.GPUs, team.GPUsMax)
		teams[team.Name] = &model.Team{
			Name:       team.Name,
			Guaranteed: model.Resources{Cores: cores, GPUs: gpus},
			Limit:      model.Resources{Cores: maxCores, GPUs: maxGPUs},
		}
	}
	return teams
}

// guaranteeAndLimit converts a team's guarantee and limit of one resource.
func guaranteeAndLimit(guaranteed, allowed float64) (guarantee, limit model.Milli) {
	guarantee, limit = model.ToMilli(guaranteed), model.ToMilli(allowed)
	if limit != 0 {
		return guarantee, limit
	}
	if guarantee == 0 {
		return model.NoLimit, model.NoLimit
	}
	return guarantee, model.NoLimit
}
