/** Parses the body of a draft request, either in this system's own format or as an OpenAI chat completion. */
import { z } from 'zod'
import { err, ok } from 'true-myth/result'
import type { Result } from 'true-myth'

const defaultMaxTokens = 1_024
const maxTokensLimit = 131_072

const maxTokens = z.int().min(1).max(maxTokensLimit).default(defaultMaxTokens)

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

/** The content of a draft request, independent of its format. */
export interface DraftBody {
  prompt: string
  maxTokens: number
  stream: boolean
}

function describeIssues (error: z.ZodError): string {
  return error.issues.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; ')
}

function parseJson (body: Buffer): Result<unknown, string> {
  try {
    return ok(JSON.parse(body.toString('utf8')))
  } catch {
    return err('it is not valid JSON')
  }
}

/** Parses `{ prompt, maxTokens, stream }`. The error lists the invalid fields. */
export function parseDraftBody (body: Buffer): Result<DraftBody, string> {
  return parseJson(body).andThen(value => {
    const parsed = draftSchema.safeParse(value)
    return parsed.success ? ok(parsed.data) : err(describeIssues(parsed.error))
  })
}

/**
 * Parses a chat completion. The messages are joined into one prompt; messages
 * that start the same way yield the same prompt prefix, which prefix caches need.
 */
export function parseChatBody (body: Buffer): Result<DraftBody, string> {
  return parseJson(body).andThen(value => {
    const parsed = chatSchema.safeParse(value)
    if (!parsed.success) return err(describeIssues(parsed.error))
    const { messages, max_tokens: limit, stream } = parsed.data
    const prompt = messages.map(message => `<${message.role}>\n${message.content}\n`).join('')
    return ok({ prompt, maxTokens: limit, stream })
  })
}
