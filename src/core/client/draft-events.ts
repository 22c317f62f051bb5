/** Reads what the events of a draft hold. */
import { z } from 'zod'
import type { DraftSummary } from './types.ts'

/** Index of an event by its id `<request>:<attempt>:<index>`; undefined when it isn't one. */
export function eventIndex (id: string): number | undefined {
  const match = /:(\d{1,9})$/.exec(id)
  return match === null ? undefined : Number(match[1])
}

const tokenSchema = z.union([
  z.object({ text: z.string() }).transform(token => token.text),
  z.object({
    choices: z.array(z.object({
      text: z.string().optional(),
      delta: z.object({ content: z.string().nullish() }).optional()
    }))
  }).transform(({ choices }) => choices.map(choice => choice.text ?? choice.delta?.content ?? '').join(''))
])

/** Text of a token event, as the engine encoded it. */
export function parseTokenText (data: string): string {
  return tokenSchema.parse(JSON.parse(data))
}

const summarySchema = z.object({
  finishReason: z.string(),
  events: z.number(),
  promptTokens: z.number(),
  cachedTokens: z.number(),
  version: z.string().optional()
})

/** Summary of the end event. */
export function parseSummary (data: string): DraftSummary {
  const { version, ...summary } = summarySchema.parse(JSON.parse(data))
  return { ...summary, version }
}
