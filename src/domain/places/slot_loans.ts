/**
 * Slots of one backend server that one entry host lends to another.
 *
 * @module
 */

/** A slot that this entry host has borrowed. */
export interface SlotLoan {
  /** Number of the loan in this process. */
  readonly id: number;
  /** Time until which a request may be started under the loan, on the monotonic clock. */
  readonly startUntilMs: number;
}

/** A loan that ends, and whether the server has refused a request under it. */
export interface EndedLoan extends SlotLoan {
  readonly wasDeclined: boolean;
}

interface BorrowedSlot extends SlotLoan {
  isUsed: boolean;
  wasDeclined: boolean;
}

/** Tracks which slots are lent, and which borrowed slots hold a request. */
export class SlotLoans {
  /** When each lent slot falls back without being returned, by loan ID. */
  readonly #lentUntilMs = new Map<number, number>();

  /** Oldest first. */
  #borrowed: BorrowedSlot[] = [];

  /** Number of borrowed slots that hold a request. */
  get usedCount(): number {
    return this.#borrowed.filter(({ isUsed }) => isUsed).length;
  }

  /** @param nowMs - monotonic time in milliseconds. @returns number of slots that are lent */
  countLent(nowMs: number): number {
    this.#lentUntilMs.forEach((untilMs, id) => {
      if (untilMs <= nowMs) this.#lentUntilMs.delete(id);
    });
    return this.#lentUntilMs.size;
  }

  /** @param id - a new loan. @param untilMs - when the slot falls back without being returned */
  lend(id: number, untilMs: number): void {
    this.#lentUntilMs.set(id, untilMs);
  }

  /** @param id - a loan that ends. @returns whether its slot was lent by this host */
  takeBack(id: number): boolean {
    return this.#lentUntilMs.delete(id);
  }

  /** @param loan - a slot that this host may use for one request */
  borrow(loan: SlotLoan): void {
    this.#borrowed.push({ ...loan, isUsed: false, wasDeclined: false });
  }

  /** Notes that the server refused a request, which may have used a borrowed slot. */
  recordDeclined(): void {
    const loan = this.#borrowed.find(({ isUsed }) => isUsed) ?? this.#borrowed.at(-1);
    if (loan) Object.assign(loan, { wasDeclined: true });
  }

  /** @param nowMs - monotonic time. @returns whether a request may be started under a loan */
  mayStart(nowMs: number): boolean {
    return this.#borrowed.some(({ isUsed, startUntilMs }) => !isUsed && nowMs < startUntilMs);
  }

  /**
   * Matches loans and requests. A new request uses the newest loan, and the oldest loan is free
   * first: a request then always ends before the slot falls back to its owner.
   *
   * @param count - number of requests that hold borrowed slots
   */
  updateUse(count: number): void {
    let missing = count - this.usedCount;
    [...this.#borrowed].reverse().forEach((loan) => {
      if (missing <= 0 || loan.isUsed) return;
      Object.assign(loan, { isUsed: true });
      missing -= 1;
    });
    this.#borrowed.forEach((loan) => {
      if (missing >= 0 || !loan.isUsed) return;
      Object.assign(loan, { isUsed: false });
      missing += 1;
    });
  }

  /**
   * @param nowMs - monotonic time in milliseconds
   * @param isNeeded - whether a call waits for a slot
   * @returns loans that hold no request and that this host gives back
   */
  takeUnused(nowMs: number, isNeeded: boolean): readonly EndedLoan[] {
    const mustReturn = ({ isUsed, startUntilMs, wasDeclined }: BorrowedSlot): boolean =>
      !isUsed && (!isNeeded || wasDeclined || nowMs >= startUntilMs);
    const unused = this.#borrowed.filter(mustReturn);
    this.#borrowed = this.#borrowed.filter((loan) => !mustReturn(loan));
    return unused;
  }
}
