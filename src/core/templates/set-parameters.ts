/** Changes single parameters of a team that is stored in the key-value service. */
import { err } from 'true-myth/result'
import { createError } from '../errors/index.ts'
import { toId } from '../ids/index.ts'
import { findNearestName } from '../nearest/index.ts'
import { teamsPrefix } from '../configuration/index.ts'
import { applyPlan } from './apply.ts'
import { planContents, createTeamContent } from './plan.ts'
import { resolveTeam } from './resolve.ts'
import { readDeclarations } from './stored.ts'
import type { Result } from 'true-myth'
import type { CyclamenError } from '../errors/index.ts'
import type { TeamId } from '../ids/index.ts'
import type { ApplyOptions } from './apply.ts'
import type { ApplyOutcome, ApplyPlan } from './types.ts'

/** Options of a change of parameters. */
export interface SetParametersOptions extends ApplyOptions {
  /** Revision of the team that the operator has seen; if the team changed since, the outcome is a conflict. */
  expectedRevision?: number
}

function createTeamError (team: string, problems: string[]): CyclamenError<'SettingsInvalid'> {
  return createError('SettingsInvalid', { file: `team "${team}"`, problems })
}

/** Plans a change of parameters; the value undefined removes a parameter. */
export async function planSetParameters (team: TeamId, changes: Record<string, unknown>, options: SetParametersOptions): Promise<Result<ApplyPlan, CyclamenError>> {
  const read = await readDeclarations(options.store, options.deadlineAtMs)
  if (read.isErr) return err(read.error)
  const stored = read.value
  const current = stored.teams.get(team)
  if (current === undefined) {
    const suggestion = findNearestName(team, [...stored.teams.keys()])
    return err(createTeamError(team, [`is not declared; ${suggestion === undefined ? 'apply its file first' : `did you mean "${suggestion}"?`}`]))
  }
  const template = stored.templates.get(current.content.template)
  if (template === undefined) return err(createTeamError(team, [`names the template "${current.content.template}", which can't be parsed; apply the template's file again`]))
  const merged = Object.entries({ ...current.content.parameters, ...changes }).filter(([, value]) => value !== undefined)
  const parameters = Object.fromEntries(merged)
  const declaration = resolveTeam(template, toId<TeamId>(team), parameters)
  if (declaration.isErr) return err(createTeamError(team, declaration.error.map(({ path, text }) => `${path.join('.')} ${text}`)))
  const { move } = declaration.value
  const isMoveGiven = Object.keys(changes).length > 0 && move?.deadlineAtMs !== current.content.declaration.move?.deadlineAtMs
  const nowMs = options.clock.wallMs()
  if (move !== undefined && isMoveGiven && move.deadlineAtMs <= nowMs) {
    return err(createTeamError(team, [`sets the move deadline to ${new Date(move.deadlineAtMs).toISOString()}, which is in the past; set a later time`]))
  }
  const content = createTeamContent(template.name, parameters, declaration.value)
  const plan = await planContents(stored, [[teamsPrefix + team, content]], { ...options, nowMs })
  const { expectedRevision } = options
  if (plan.isErr || expectedRevision === undefined) return plan
  return plan.map(({ compares, ...rest }) => ({
    ...rest,
    compares: compares.map(compare => compare.key === teamsPrefix + team ? { ...compare, modRevision: expectedRevision } : compare)
  }))
}

/** Changes some of a team's parameters; the value undefined removes a parameter. */
export async function setParameters (team: TeamId, changes: Record<string, unknown>, options: SetParametersOptions): Promise<Result<ApplyOutcome, CyclamenError>> {
  const plan = await planSetParameters(team, changes, options)
  return plan.isErr ? err(plan.error) : await applyPlan(plan.value, options)
}
