/** Reads the values that another node left out of the changes that it reported. */
import type { StoreViewOptions, DeltaChange, ViewChange } from './types.ts'

/** Timeout of a read of an omitted value. */
const readTimeoutMs = 800

/** Reads the omitted values; undefined if one can't be read. */
export async function readOmittedValues ({ store, clock }: Pick<StoreViewOptions, 'store' | 'clock'>, changes: readonly DeltaChange[]): Promise<ViewChange[] | undefined> {
  const complete: ViewChange[] = []
  for (const change of changes) {
    if (change.isValueOmitted !== true) {
      complete.push(change)
      continue
    }
    const read = await store.get(change.key, { deadlineAtMs: clock.wallMs() + readTimeoutMs })
    if (read.isErr) return undefined
    const { entry } = read.value
    complete.push({ ...change, value: entry?.value, modRevision: entry?.modRevision ?? change.modRevision })
  }
  return complete
}
