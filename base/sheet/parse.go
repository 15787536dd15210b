package sheet

import (
	"fmt"
	"strings"

	"github.com/samber/lo"

	"camphorpulley.org/base/settings"
	"camphorpulley.org/core"
	"camphorpulley.org/core/account"
	"camphorpulley.org/core/config"
	"camphorpulley.org/core/datacentre"
	"camphorpulley.org/core/pool"
)

// Parse parses the text of a sheet, then checks it for contradictions. Name stands
// for the file in problems. The error is a *settings.Error: with all problems of
// syntax, keys and their values, or, if there are none, with all contradictions
// between the keys of a section and between sections.
func Parse(name string, text []byte) (config.Sheet, error) {
	f, err := settings.Parse[file](name, text)
	if err != nil {
		return config.Sheet{}, err
	}
	c := checker{file: name, text: string(text)}
	c.check(f)
	if len(c.problems) > 0 {
		return config.Sheet{}, &settings.Error{Problems: c.problems}
	}
	return toConfig(f), nil
}

func toConfig(f file) config.Sheet {
	return config.Sheet{
		Name: f.Sheet.Name,
		DataCentres: lo.Map(f.DataCentres, func(d dataCentreSection, _ int) datacentre.DataCentre {
			return datacentre.DataCentre{
				Name:    core.DataCentre(d.Name),
				Region:  d.Region,
				Service: datacentre.ServiceState(lo.CoalesceOrEmpty(d.Service, string(datacentre.In))),
				Seats:   d.Seats,
			}
		}),
		Pools: lo.Map(f.Pools, func(p poolSection, _ int) pool.Pool {
			return pool.Pool{
				Name: core.Pool(p.Name), Kind: pool.Kind(p.Kind), Models: p.Models,
				Prefix: p.Prefix, AtMostOnce: p.Once, Capacity: p.Bear, ColdCapacity: p.Cold, RampTime: p.Ramp,
				LoadFactor: p.Multiple, MaxRunTime: p.Longest, MaxWait: p.Wait,
			}
		}),
		Accounts: lo.Map(f.Accounts, func(a accountSection, _ int) account.Account {
			return account.Account{Name: core.Account(a.Name), TokenDigest: a.Token, Share: a.Share, Priority: a.Priority}
		}),
		Rules: lo.Map(f.Rules, func(r ruleSection, _ int) pool.Rule {
			return pool.Rule{
				Name: r.Name, Account: core.Account(r.Account), Pool: core.Pool(r.Pool),
				Allow: toDataCentres(r.Allow), Deny: toDataCentres(r.Bar), OtherRegions: r.Cross,
			}
		}),
		ModelVersions: lo.Map(f.Versions, func(v versionSection, _ int) config.ModelVersion {
			return config.ModelVersion{Pool: core.Pool(v.Pool), Model: v.Model, Version: v.Version}
		}),
	}
}

func toDataCentres(names []string) []core.DataCentre {
	return lo.Map(names, func(n string, _ int) core.DataCentre { return core.DataCentre(n) })
}

// checker collects the contradictions between the keys of a section and
// between sections, which validate tags cannot express.
type checker struct {
	file     string
	text     string
	problems []settings.Problem
}

func (c *checker) addProblem(section, format string, args ...any) {
	c.problems = append(c.problems, settings.Problem{
		File: c.file, Line: c.line(section),
		Text: fmt.Sprintf("[%s]: ", section) + fmt.Sprintf(format, args...),
	})
}

// line returns the line number of a section's header, counted from one, or
// zero if the text has no such section.
func (c *checker) line(section string) int {
	for i, line := range strings.Split(c.text, "\n") {
		if strings.TrimSpace(line) == "["+section+"]" {
			return i + 1
		}
	}
	return 0
}

func (c *checker) check(f file) {
	c.checkPools(f)
	c.checkTokens(f)
	c.checkRules(f)
	c.checkVersions(f)
}

func (c *checker) checkPools(f file) {
	prefixes := map[string]string{}
	models := map[string]string{}
	for _, p := range f.Pools {
		section := "pool " + p.Name
		switch p.Kind {
		case "model":
			if len(p.Models) == 0 {
				c.addProblem(section, "a pool of kind model needs the key models")
			}
			if p.Prefix != "" || len(p.Once) > 0 {
				c.addProblem(section, "the keys prefix and once are only for pools of kind service")
			}
			for _, m := range p.Models {
				if other, taken := models[m]; taken {
					c.addProblem(section, "model %q is already served by pool %q", m, other)
				}
				models[m] = p.Name
			}
		case "service":
			c.checkServicePool(section, p)
			if other, taken := prefixes[p.Prefix]; taken {
				c.addProblem(section, "prefix %q is already used by pool %q", p.Prefix, other)
			}
			prefixes[p.Prefix] = p.Name
		}
	}
}

func (c *checker) checkServicePool(section string, p poolSection) {
	if !strings.HasPrefix(p.Prefix, "/") || p.Prefix == "/" || strings.HasPrefix(p.Prefix, "/v1") {
		c.addProblem(section, "prefix must be a path such as /%s and must not begin with /v1 (got %q)", p.Name, p.Prefix)
	}
	for _, once := range p.Once {
		method, path, ok := strings.Cut(once, " ")
		if !ok || method != strings.ToUpper(method) || !strings.HasPrefix(path, p.Prefix) {
			c.addProblem(section, "once: %q must be a method in upper case and a path that begins with %q", once, p.Prefix)
		}
	}
	if len(p.Models) > 0 {
		c.addProblem(section, "the key models is only for pools of kind model")
	}
}

func (c *checker) checkTokens(f file) {
	owners := map[string]string{}
	for _, a := range f.Accounts {
		if other, taken := owners[a.Token]; taken {
			c.addProblem("account "+a.Name, "has the same token as account %q", other)
		}
		owners[a.Token] = a.Name
	}
}

func (c *checker) checkRules(f file) {
	dataCentres := lo.Map(f.DataCentres, func(d dataCentreSection, _ int) string { return d.Name })
	regions := lo.Map(f.DataCentres, func(d dataCentreSection, _ int) string { return d.Region })
	accounts := lo.Map(f.Accounts, func(a accountSection, _ int) string { return a.Name })
	pools := lo.Map(f.Pools, func(p poolSection, _ int) string { return p.Name })
	for _, r := range f.Rules {
		section := "rule " + r.Name
		for _, name := range append(append([]string{}, r.Allow...), r.Bar...) {
			if !lo.Contains(dataCentres, name) {
				c.addProblem(section, "unknown data centre %q", name)
			}
		}
		for _, region := range r.Cross {
			if !lo.Contains(regions, region) {
				c.addProblem(section, "unknown region %q", region)
			}
		}
		if r.Account != "" && !lo.Contains(accounts, r.Account) {
			c.addProblem(section, "unknown account %q", r.Account)
		}
		if r.Pool != "" && !lo.Contains(pools, r.Pool) {
			c.addProblem(section, "unknown pool %q", r.Pool)
		}
		if conflicting := lo.Intersect(r.Allow, r.Bar); len(conflicting) > 0 {
			c.addProblem(section, "data centre %q is both in allow and in bar", conflicting[0])
		}
	}
}

func (c *checker) checkVersions(f file) {
	for _, v := range f.Versions {
		p, ok := lo.Find(f.Pools, func(p poolSection) bool { return p.Name == v.Pool })
		if !ok {
			c.addProblem("version "+v.Model, "unknown pool %q", v.Pool)
			continue
		}
		if !lo.Contains(p.Models, v.Model) {
			c.addProblem("version "+v.Model, "pool %q does not list the model %q", v.Pool, v.Model)
		}
	}
}
