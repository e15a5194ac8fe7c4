package io.bilberrygrade.serving.document;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/** Describes one key of a document; a key without a default must be given unless optional. */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface KeyInfo {
    /** Returns what the key means, as one sentence. */
    String value();

    /** Returns the default in the form in which it would be written. */
    String defaultValue() default "";

    /** Returns whether the key may be left out though it has no default. */
    boolean optional() default false;
}
