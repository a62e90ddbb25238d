package config

import "woadweir/internal/core/model"

// Teams converts the teams. A limit of 0, or none at all, is no limit: there are
// deployments whose teams name GPUs alone, and whose tasks all use processors. Such a
// team's guarantee does not cover what is named neither in guarantee nor in limit.
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
func guaranteeAndLimit(guaranteed, highest float64) (guarantee, limit model.Milli) {
	guarantee, limit = model.ToMilli(guaranteed), model.ToMilli(highest)
	if limit != 0 {
		return guarantee, limit
	}
	if guarantee == 0 {
		return model.NoLimit, model.NoLimit
	}
	return guarantee, model.NoLimit
}
