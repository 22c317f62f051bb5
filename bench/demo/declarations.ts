/** What the demo's operators declare: two teams that draft and one that registers. */
import { createHash } from 'node:crypto'
import { toId } from '../../src/core/ids/index.ts'
import type { DomainId, TeamId, TemplateId, VersionId } from '../../src/core/ids/index.ts'
import type { RouteDeclaration, TeamDeclaration } from '../../src/core/teams/types.ts'

/** The demo's failure domains. */
export const domains = ['attica-1', 'attica-2', 'attica-3'].map(name => toId<DomainId>(name))

/** Version that serves at the start. */
export const firstVersion = toId<VersionId>('v1')

/** A team as its callers know it. */
export interface DemoTeam {
  name: string
  token: string
  declaration: TeamDeclaration
}

function createTeam (name: string, kind: TeamDeclaration['kind'], routes: RouteDeclaration[], backends: number): DemoTeam {
  const token = `${name}-token-of-the-demo`
  return {
    name,
    token,
    declaration: {
      team: toId<TeamId>(name),
      template: toId<TemplateId>('demo'),
      kind,
      version: firstVersion,
      routes,
      tokenDigests: [createHash('sha256').update(token).digest('hex')],
      weight: 1,
      maxConcurrent: 64,
      maxQueued: 64,
      maxRequestMs: 120_000,
      domains,
      minBackends: backends,
      maxBackends: backends + 3,
      maxPriceMilliEuroPerHour: 5_000,
      checksFencing: true
    }
  }
}

/** Team whose callers have letters and summaries drafted. */
export const draftingTeam = createTeam('agency-north', 'model-engine', [
  { name: 'letters', kind: 'draft', priority: 'urgent', repeatable: true },
  { name: 'summaries', kind: 'draft', priority: 'normal', repeatable: true }
], 6)

/** Team whose callers register reminders. */
export const registeringTeam = createTeam('case-registry', 'plain-service', [
  { name: 'registrations', kind: 'call', priority: 'urgent', repeatable: false }
], 3)

/** All teams. */
export const teams = [draftingTeam, registeringTeam]
