/** Parses the stored values of declarations: JSON that is validated against a schema. */
import { err, ok } from 'true-myth/result'
import { z } from 'zod'
import { toId } from '../ids/index.ts'
import type { Result } from 'true-myth'
import type { TeamDeclaration } from '../teams/types.ts'
import type { DeclaredValue, TeamContent } from './types.ts'

/** Key prefix of all declarations. */
export const configurationPrefix = 'config/'

/** Key prefix of the teams' declarations. */
export const teamsPrefix = 'config/teams/'

/** Key prefix of the templates. */
export const templatesPrefix = 'config/templates/'

function idSchema<Id extends ReturnType<typeof toId>> () {
  return z.string().min(1).transform(text => toId<Id>(text))
}

const routeSchema = z.object({
  name: z.string().min(1),
  kind: z.enum(['draft', 'call']),
  priority: z.enum(['urgent', 'normal', 'batch']),
  repeatable: z.boolean()
})

/** Schema of a team's declaration. Unknown fields are dropped, so that this version can read values written by a later one. */
export const declarationSchema = z.object({
  team: idSchema<TeamDeclaration['team']>(),
  template: idSchema<TeamDeclaration['template']>(),
  kind: z.enum(['model-engine', 'plain-service']),
  version: idSchema<TeamDeclaration['version']>(),
  move: z.object({ toVersion: idSchema<TeamDeclaration['version']>(), deadlineAtMs: z.number() }).optional(),
  routes: z.array(routeSchema),
  tokenDigests: z.array(z.string().regex(/^[0-9a-f]{64}$/)),
  weight: z.number().positive(),
  maxConcurrent: z.number().int().positive(),
  maxQueued: z.number().int().nonnegative(),
  maxRequestMs: z.number().positive(),
  domains: z.array(idSchema<TeamDeclaration['domains'][number]>()),
  minBackends: z.number().int().nonnegative(),
  maxBackends: z.number().int().positive(),
  maxPriceMilliEuroPerHour: z.number().nonnegative(),
  checksFencing: z.boolean()
})

const envelopeSchema = z.object({
  writeId: idSchema<DeclaredValue<unknown>['writeId']>(),
  by: z.string(),
  atMs: z.number(),
  content: z.unknown()
})

const teamContentSchema = z.object({
  template: z.string(),
  parameters: z.record(z.string(), z.unknown()),
  declaration: declarationSchema
})

/** Parses a stored value with its envelope, leaving the content unchecked. The error describes the invalid JSON or field. */
export function parseDeclaredValue (text: string): Result<DeclaredValue<unknown>, string> {
  try {
    const parsed = envelopeSchema.safeParse(JSON.parse(text))
    return parsed.success ? ok(parsed.data as DeclaredValue<unknown>) : err(z.prettifyError(parsed.error))
  } catch (thrown) {
    return err(thrown instanceof Error ? thrown.message : String(thrown))
  }
}

/** Parses the stored value of a team's key and validates its content. */
export function parseTeamValue (text: string): Result<DeclaredValue<TeamContent>, string> {
  return parseDeclaredValue(text).andThen(value => {
    const content = teamContentSchema.safeParse(value.content)
    if (!content.success) return err<DeclaredValue<TeamContent>, string>(z.prettifyError(content.error))
    return ok<DeclaredValue<TeamContent>, string>({ ...value, content: content.data as TeamContent })
  })
}
