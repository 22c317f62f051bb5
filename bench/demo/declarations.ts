/** What the demo's operators declare: the Association's templates, with a team that drafts and one that registers. */
import { readFileSync } from 'node:fs'
import { toId } from '../../src/core/ids/index.ts'
import type { DomainId, TeamId } from '../../src/core/ids/index.ts'
import { checkFiles } from '../../src/core/templates/index.ts'
import type { SourceFile } from '../../src/core/templates/index.ts'
import type { TeamDeclaration } from '../../src/core/teams/types.ts'

/** The demo's failure domains. */
export const domains = ['attica-1', 'attica-2', 'attica-3'].map(name => toId<DomainId>(name))

/** A team as its callers know it. */
export interface DemoTeam {
  name: string
  token: string
}

/** Team whose callers have letters and summaries drafted. */
export const draftingTeam: DemoTeam = { name: 'agency-north', token: 'agency-north-token-of-the-demo' }

/** Team whose callers register reminders. */
export const registeringTeam: DemoTeam = { name: 'case-registry', token: 'case-registry-token-of-the-demo' }

/** Files that are applied. */
export function readDeclarationFiles (): SourceFile[] {
  const files = [
    'examples/association/templates/drafting.yaml',
    'examples/association/templates/case-registry.yaml',
    'bench/demo/teams/agency-north.yaml',
    'bench/demo/teams/case-registry.yaml'
  ]
  return files.map(file => ({ file, text: readFileSync(file, 'utf8') }))
}

/** The teams as they are declared. */
export function readTeams (): TeamDeclaration[] {
  const checked = checkFiles(readDeclarationFiles())
  if (checked.isErr) throw checked.error
  return checked.value.teams.map(({ declaration }) => declaration)
}

/** The declaration of one team. */
export function declarationOf (team: DemoTeam): TeamDeclaration {
  const id = toId<TeamId>(team.name)
  const found = readTeams().find(declaration => declaration.team === id)
  if (found === undefined) throw new Error(`The demo declares no team "${team.name}".`)
  return found
}
