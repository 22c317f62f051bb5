/** The promises that the demo holds the system to. */
import { generatedAnswer } from '../../src/stand-ins/index.ts'
import type { CallOutcome, DraftOutcome } from './workload.ts'

/** One promise with what was counted. */
export interface CheckedPromise {
  promise: string
  checked: number
  broken: string[]
}

function checkWhole ({ text, summary, file }: DraftOutcome): string | undefined {
  if (summary === undefined) return undefined
  const whole = generatedAnswer(file.text, summary.version ?? '', summary.events)
  return text === whole ? undefined : `${file.path}: the text differs from what version ${summary.version} generates`
}

/** A draft may be refused before it began; after that it has to be finished. */
function checkFinished ({ summary, error, file }: DraftOutcome): string | undefined {
  if (summary !== undefined || error === undefined) return undefined
  return error.params.run === 'not-run' ? undefined : `${file.path}: ${error.message}`
}

function isBroken (problem: string | undefined): problem is string {
  return problem !== undefined
}

/** Holds what the callers saw against what the backend servers ran. */
export function checkPromises (drafts: readonly DraftOutcome[], calls: readonly CallOutcome[], ranByKey: ReadonlyMap<string, number>): CheckedPromise[] {
  const answered = drafts.filter(({ summary }) => summary !== undefined)
  const answersByKey = new Map<string, Set<string>>()
  for (const { key, answer } of calls) {
    if (answer !== undefined) answersByKey.set(key, (answersByKey.get(key) ?? new Set()).add(answer))
  }
  const keys = [...new Set(calls.map(({ key }) => key))]
  const notRun = calls.filter(({ error }) => error?.params.run === 'not-run')
  return [
    {
      promise: 'Accepted drafts are finished',
      checked: drafts.length,
      broken: drafts.map(checkFinished).filter(isBroken)
    },
    {
      promise: 'Each answer is whole and its own',
      checked: answered.length,
      broken: answered.map(checkWhole).filter(isBroken)
    },
    {
      promise: 'No registration runs twice',
      checked: keys.length,
      broken: [...ranByKey].filter(([, times]) => times > 1).map(([key, times]) => `${key} ran ${times} times`)
    },
    {
      promise: 'An answered registration ran, with one answer for its key',
      checked: answersByKey.size,
      broken: [...answersByKey]
        .filter(([key, answers]) => ranByKey.get(key) !== 1 || answers.size !== 1)
        .map(([key, answers]) => `${key} ran ${ranByKey.get(key) ?? 0} times and has ${answers.size} answers`)
    },
    {
      promise: 'A refusal that says "not run" is true',
      checked: notRun.length,
      broken: notRun
        .filter(({ key }) => ranByKey.has(key) && !answersByKey.has(key))
        .map(({ key }) => `${key} was said not to have run and ran`)
    }
  ]
}
