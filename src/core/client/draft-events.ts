/** Parses the data of a draft's events. */
import { z } from 'zod'
import type { DraftSummary } from './types.ts'

/** Returns the index in an event id `<request>:<attempt>:<index>`; undefined if it has none. */
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

/** Returns the text of a token event, which is in the encoding of the engine. Throws if the data is invalid. */
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

/** Parses the summary in the end event. Throws if the data is invalid. */
export function parseSummary (data: string): DraftSummary {
  const { version, ...summary } = summarySchema.parse(JSON.parse(data))
  return { ...summary, version }
}
