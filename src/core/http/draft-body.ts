/** Reads the body of a draft request, in the system's own form or as a chat completion. */
import { z } from 'zod'
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'

const defaultMaxTokens = 1_024
const highestMaxTokens = 131_072

const maxTokens = z.int().min(1).max(highestMaxTokens).default(defaultMaxTokens)

const draftSchema = z.object({
  prompt: z.string().min(1),
  maxTokens,
  stream: z.boolean().default(true)
})

const chatSchema = z.object({
  model: z.string().min(1),
  messages: z.array(z.object({ role: z.string().min(1), content: z.string() })).min(1),
  max_tokens: maxTokens,
  stream: z.boolean().default(false)
})

/** A draft's body, whatever form it came in. */
export interface DraftBody {
  prompt: string
  maxTokens: number
  stream: boolean
}

function problemOf (error: z.ZodError): string {
  return error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; ')
}

function parseJson (body: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(body.toString('utf8')))
  } catch {
    return err('the body isn\'t JSON')
  }
}

/** Reads `{ prompt, maxTokens, stream }`. */
export function readDraftBody (body: Buffer): Result<DraftBody, string> {
  return parseJson(body).andThen(value => {
    const parsed = draftSchema.safeParse(value)
    return parsed.success ? ok(parsed.data) : err(problemOf(parsed.error))
  })
}

/** Reads a chat completion; its messages become one prompt, so that equal beginnings stay equal. */
export function readChatBody (body: Buffer): Result<DraftBody, string> {
  return parseJson(body).andThen(value => {
    const parsed = chatSchema.safeParse(value)
    if (!parsed.success) return err(problemOf(parsed.error))
    const { messages, max_tokens: limit, stream } = parsed.data
    const prompt = messages.map(message => `<${message.role}>\n${message.content}\n`).join('')
    return ok({ prompt, maxTokens: limit, stream })
  })
}
