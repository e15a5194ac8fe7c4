/** A request as the decisions see it, and the outcomes that it can have. */
package io.bilberrygrade.core.request;
